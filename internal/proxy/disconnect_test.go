package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

// maxWorkAfterDisconnect is how long a replica may still work on a request after its client has disconnected.
const maxWorkAfterDisconnect = 500 * time.Millisecond

func TestHandler_ClientDisconnectCancelsUpstreamRequest(t *testing.T) {
	starts := map[string]func(connection net.Conn, request *http.Request){
		"before the response": func(net.Conn, *http.Request) {},
		"in the middle of a stream": func(connection net.Conn, request *http.Request) {
			_, _ = io.WriteString(connection, responseHead("200 OK", request, "seal", "Transfer-Encoding: chunked"))
			_, _ = io.WriteString(connection, chunk("id: 1\ndata: a\n\n"))
		},
	}
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan time.Time, 1)
			upstream := startReplica(t, "r-1", func(connection net.Conn, request *http.Request) bool {
				start(connection, request)
				close(started)
				_, _ = connection.Read(make([]byte, 1)) // returns once the data plane closes the connection
				ended <- time.Now()
				return false
			})
			server := startServer(t, upstream)
			client := server.connect(t)
			_, _ = io.WriteString(client, post("/again/x", "gone", replica.HeaderTimeRemaining+": 9000"))
			<-started
			leftAt := time.Now()
			assert.NilError(t, client.Close())
			select {
			case at := <-ended:
				assert.Assert(t, at.Sub(leftAt) < maxWorkAfterDisconnect, "worked for another %s", at.Sub(leftAt))
			case <-time.After(2 * time.Second):
				t.Fatal("the replica still works on the request")
			}
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, upstream.requestCount(), 1, "no retry after the client has disconnected")
		})
	}
}

func TestHandler_ForwardedRemainingTimeNeverExceedsTheClients(t *testing.T) {
	const clientRemainingMs = 250
	second := startReplica(t, "r-2", respondWith("200 OK", "seal", "done"))
	first := startReplica(t, "r-1", func(connection net.Conn, request *http.Request) bool {
		time.Sleep(80 * time.Millisecond)
		notExecuted := replica.HeaderNotExecuted + ": 1"
		fmt.Fprint(connection, responseHead("503 Service Unavailable", request, "seal", notExecuted, "Content-Length: 0"))
		return true
	})
	for name, replicas := range map[string][]*scriptedReplica{"one replica": {second}, "two replicas": {first, second}} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, replicas...)
			remaining := fmt.Sprintf("%s: %d", replica.HeaderTimeRemaining, clientRemainingMs)
			for attempt := range 6 {
				sentAt := time.Now()
				response := server.send(t, post("/again/x", fmt.Sprint("time-", attempt), remaining))
				elapsed := time.Since(sentAt).Milliseconds()
				assert.Assert(t, response.status == http.StatusOK || response.status == http.StatusServiceUnavailable)
				for _, upstream := range replicas {
					assertForwardedTime(t, upstream, clientRemainingMs, elapsed)
				}
			}
		})
	}
}

// assertForwardedTime asserts that the remaining time in the last request at a replica is positive and at most the client's.
func assertForwardedTime(t *testing.T, upstream *scriptedReplica, clientRemainingMs, elapsedMs int64) {
	t.Helper()
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	if len(upstream.requests) == 0 {
		return
	}
	stated := upstream.requests[len(upstream.requests)-1].Header.Get(replica.HeaderTimeRemaining)
	forwardedMs, err := strconv.ParseInt(stated, 10, 64)
	assert.NilError(t, err)
	assert.Assert(t, forwardedMs > 0 && forwardedMs <= clientRemainingMs,
		"%d of %d ms, after %d ms", forwardedMs, clientRemainingMs, elapsedMs)
}

func TestHandler_AnswersEveryRequestOnKeepAliveConnection(t *testing.T) {
	upstream := startReplica(t, "r-1", respondWith("200 OK", "seal", "done"))
	server := startServer(t, upstream)
	client := server.connect(t)
	for attempt := range 20 {
		response := client.exchange(http.MethodPost, post("/once/x", fmt.Sprint("kept-", attempt)))
		assert.Assert(t, !response.broken, "request %d on the connection got no response", attempt)
		assert.Equal(t, response.status, http.StatusOK)
	}
	assert.Equal(t, upstream.requestCount(), 20)
}
