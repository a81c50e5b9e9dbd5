package adminapi

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveResettingConnections starts a server that responds to the first request of each connection and resets the
// connection after it has read the second. It counts the requests that were read.
func serveResettingConnections(t *testing.T) (address string, requestsRead *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	requestsRead = &atomic.Int64{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go respondOnce(connection, requestsRead)
		}
	}()
	return listener.Addr().String(), requestsRead
}

// respondOnce responds to the first request of a connection, and resets the connection once it has read the second.
func respondOnce(connection net.Conn, requestsRead *atomic.Int64) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for responded := false; ; responded = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requestsRead.Add(1)
		if responded {
			_ = connection.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	}
}

// A change whose connection breaks before the response may have been carried out. net/http must leave the decision to
// send it again to the Client.
func TestClient_NetHTTPDoesNotResendAfterBrokenConnection(t *testing.T) {
	for _, method := range []string{http.MethodPut, http.MethodPatch, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "{}"} {
			t.Run(method+" "+body, func(t *testing.T) {
				address, requestsRead := serveResettingConnections(t)
				client := newTestClient(address)
				client.HTTPClient.Transport = &http.Transport{}
				defer client.HTTPClient.CloseIdleConnections()
				client.Timeout = time.Second
				_, err := client.send(t.Context(), address, call{method: http.MethodGet, path: "/"})
				assert.NilError(t, err)
				_, err = client.send(t.Context(), address, call{method: method, path: "/", ifMatch: "1", body: []byte(body)})
				assert.Assert(t, err != nil, "the connection was reset before a response")
				assert.Equal(t, requestsRead.Load(), int64(2))
			})
		}
	}
}

func TestClient_ResendsUnchangedRequestWithoutResponse(t *testing.T) {
	bodies := make(chan string, 10)
	var calls atomic.Int64
	address := newTestServer(t, func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		bodies <- request.Header.Get("If-Match") + " " + string(body)
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
	})
	client := newTestClient(address)
	client.Timeout = 2 * time.Second
	response, err := client.Call(context.Background(), http.MethodPut, "/ferryspar/config", "4", []byte("whole"))
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusOK)
	assert.Equal(t, <-bodies, "4 whole")
	assert.Equal(t, <-bodies, "4 whole")
	assert.Equal(t, calls.Load(), int64(2))
}
