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

	"gotest.tools/v3/assert"
)

// scriptedPeer is a scripted daemon on a loopback socket. It answers the number-th question of a connection, from 1, with
// what the script gives, and breaks off where that is empty.
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
			go func(order int) {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for number := 1; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					read.Add(1)
					reply := script(order, number)
					if _, err := io.WriteString(connection, reply); err != nil || reply == "" {
						return
					}
				}
			}(accepted)
		}
	}()
	return listener.Addr().String(), read
}

func httpReply(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func callPeer(t *testing.T, client *Client, name, address string) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var answer map[string]int
	return client.Call(ctx, name, address, map[string]int{"n": 1}, &answer)
}

func TestClient_SendsOnceWhenReusedConnectionBreaks(t *testing.T) {
	for name := range Methods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, read := scriptedPeer(t, func(_, number int) string {
				if number == 2 {
					return ""
				}
				return httpReply("200 OK", "{}")
			})
			client := NewClient(HostNetwork{})
			assert.NilError(t, callPeer(t, client, name, address))
			assert.Assert(t, callPeer(t, client, name, address) != nil)
			assert.Equal(t, read.Load(), int64(2))
		})
	}
}

func TestClient_FailsOnInvalidReply(t *testing.T) {
	for name, answer := range map[string]string{
		"cut":            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
		"no document":    httpReply("200 OK", "words"),
		"a failure":      httpReply("503 No", "{}"),
		"sent elsewhere": "HTTP/1.1 307 Go\r\nLocation: /partner/news\r\nContent-Length: 0\r\n\r\n",
		"moved":          "HTTP/1.1 302 Go\r\nLocation: /partner/news\r\nContent-Length: 0\r\n\r\n",
		"garbage":        "garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, read := scriptedPeer(t, func(_, number int) string {
				if number > 1 {
					return ""
				}
				return answer
			})
			assert.Assert(t, callPeer(t, NewClient(HostNetwork{}), "follow", address) != nil)
			assert.Equal(t, read.Load(), int64(1))
		})
	}
}

// The variant with a body that the library can read again, which the first test is there to catch when a question
// bears a key: it is sent twice.
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
		answer, err := transport.RoundTrip(request)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	assert.Equal(t, read.Load(), int64(3))
}
