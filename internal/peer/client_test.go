package peer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// scriptedPeer starts a server on a loopback socket. It replies to each request with the text that script returns for the
// number of the connection and of the request on it, both counted from 1, and closes the connection if the text is empty.
// read counts the requests received.
func scriptedPeer(t *testing.T, script func(connection, number int) string) (address string, read *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	read = &atomic.Int64{}
	go func() {
		for accepted := 1; ; accepted++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(connection, read, func(number int) string { return script(accepted, number) })
		}
	}()
	return listener.Addr().String(), read
}

// serveScript replies to the requests of a connection until script returns an empty text or the connection ends.
func serveScript(connection net.Conn, read *atomic.Int64, script func(number int) string) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		read.Add(1)
		reply := script(number)
		if _, err := io.WriteString(connection, reply); err != nil || reply == "" {
			return
		}
	}
}

func httpReply(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func callPeer(t *testing.T, client *Client, method Method, address string) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var reply map[string]int
	return client.Call(ctx, method, address, map[string]int{"n": 1}, &reply)
}

func TestClient_SendsOnceWhenReusedConnectionBreaks(t *testing.T) {
	for method := range timeouts {
		t.Run(string(method), func(t *testing.T) {
			t.Parallel()
			address, read := scriptedPeer(t, func(_, number int) string {
				if number == 2 {
					return ""
				}
				return httpReply("200 OK", "{}")
			})
			client := NewClient(HostNetwork{})
			assert.NilError(t, callPeer(t, client, method, address))
			assert.Assert(t, callPeer(t, client, method, address) != nil)
			assert.Equal(t, read.Load(), int64(2))
		})
	}
}

func TestClient_FailsOnInvalidReply(t *testing.T) {
	for name, invalidReply := range map[string]string{
		"truncated":    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
		"not JSON":     httpReply("200 OK", "words"),
		"error status": httpReply("503 No", "{}"),
		"redirect 307": "HTTP/1.1 307 Go\r\nLocation: /partner/news\r\nContent-Length: 0\r\n\r\n",
		"redirect 302": "HTTP/1.1 302 Go\r\nLocation: /partner/news\r\nContent-Length: 0\r\n\r\n",
		"not HTTP":     "garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, read := scriptedPeer(t, func(_, number int) string {
				if number > 1 {
					return ""
				}
				return invalidReply
			})
			assert.Assert(t, callPeer(t, NewClient(HostNetwork{}), MethodSubscribe, address) != nil)
			assert.Equal(t, read.Load(), int64(1))
		})
	}
}

func TestClient_ErrorNamesCallAndStatus(t *testing.T) {
	address, _ := scriptedPeer(t, func(int, int) string { return httpReply("503 No", "{}") })
	err := callPeer(t, NewClient(HostNetwork{}), MethodSubscribe, address)
	var status *StatusError
	assert.Assert(t, errors.As(err, &status))
	assert.Equal(t, *status, StatusError{Method: MethodSubscribe, Address: address, Status: http.StatusServiceUnavailable})
	assert.Equal(t, err.Error(), "follow at "+address+": status 503")
}

func TestClient_RejectsUnknownMethod(t *testing.T) {
	address, read := scriptedPeer(t, func(int, int) string { return httpReply("200 OK", "{}") })
	err := callPeer(t, NewClient(HostNetwork{}), Method("unknown"), address)
	assert.Assert(t, errors.Is(err, ErrUnknownMethod))
	assert.Equal(t, read.Load(), int64(0))
}

// Demonstrates the fault that TestClient_SendsOnceWhenReusedConnectionBreaks guards against: net/http resends a request
// that has an idempotency key and a rereadable body.
func TestTransport_ResendsRereadableBodyWithKey(t *testing.T) {
	address, read := scriptedPeer(t, func(_, number int) string {
		if number == 2 {
			return ""
		}
		return httpReply("200 OK", "{}")
	})
	transport := NewTransport(HostNetwork{}, time.Second, time.Second, 1)
	defer transport.CloseIdleConnections()
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, "http://"+address, http.NoBody)
		assert.NilError(t, err)
		request.Header.Set("Idempotency-Key", "key")
		response, err := transport.RoundTrip(request)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	assert.Equal(t, read.Load(), int64(3))
}
