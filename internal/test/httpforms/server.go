package httpforms

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Server answers every request on a loopback socket with the same raw bytes.
type Server struct {
	Address string
	// Connections counts the connections that were accepted.
	Connections atomic.Int64
}

// StartServer starts a server that runs until the test ends. answer returns the bytes that answer a request.
func StartServer(t *testing.T, answer func(*http.Request) string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	server := &Server{Address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			server.Connections.Add(1)
			go answerAll(connection, answer)
		}
	}()
	return server
}

func answerAll(connection net.Conn, answer func(*http.Request) string) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(connection, answer(request)); err != nil {
			return
		}
	}
}
