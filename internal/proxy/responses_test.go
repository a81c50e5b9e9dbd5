package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
	"ferryspar/internal/replica"
)

func TestHandler_UnprovenNotExecutedStatusBecomes502(t *testing.T) {
	for _, status := range []string{"408 Late", "429 Many", "503 Full"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			upstream := startReplica(t, "i-1", respondWith(status, "seal-1", "words"))
			response := startServer(t, upstream).send(t, post("/once/", "a"))
			assert.Equal(t, response.status, http.StatusBadGateway)
			assert.Equal(t, response.header.Get(replica.HeaderSeal), "")
			assert.Equal(t, upstream.requestCount(), 1)
		})
	}
}

func TestHandler_PassesReplicaFailureOnUnchanged(t *testing.T) {
	for _, status := range []int{400, 404, 500, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			upstream := startReplica(t, "i-1", respondWith(fmt.Sprintf("%d Status", status), "seal-1", "words"))
			response := startServer(t, upstream).send(t, post("/once/", "a"))
			assert.Equal(t, response.status, status)
			assert.Equal(t, response.header.Get(replica.HeaderSeal), "seal-1")
			assert.Equal(t, response.body, "words")
			assert.Equal(t, upstream.requestCount(), 1)
		})
	}
}

func TestHandler_RetryCountBoundsReplicas(t *testing.T) {
	var replicas []*scriptedReplica
	for number := 1; number <= 4; number++ {
		seal := fmt.Sprintf("seal-%d", number)
		replicas = append(replicas, startReplica(t, fmt.Sprintf("i-%d", number), respondWith(fmt.Sprintf("50%d No", 4+number), seal, seal)))
	}
	response := startServer(t, replicas...).send(t, post("/again/", "a"))
	requests := 0
	for _, upstream := range replicas {
		requests += upstream.requestCount()
	}
	assert.Equal(t, requests, 2, "retryCount limits the replicas of one request")
	assert.Equal(t, response.header.Get(replica.HeaderSeal), fmt.Sprintf("seal-%d", response.status-504))
	assert.Equal(t, response.body, response.header.Get(replica.HeaderSeal))
}

func TestHandler_TruncatedResponseNeverLooksComplete(t *testing.T) {
	for name, test := range map[string]struct{ framing, sent string }{
		"length": {"Content-Length: 100", "part"}, "chunks": {"Transfer-Encoding: chunked", chunk("part")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			upstream := startReplica(t, "i-1", func(connection net.Conn, request *http.Request) bool {
				fmt.Fprintf(connection, "%s%s", responseHead("200 OK", request, "seal-1", test.framing), test.sent)
				return false
			})
			response := startServer(t, upstream).send(t, post("/once/", "a"))
			assert.Assert(t, response.broken, "status %d", response.status)
			assert.Equal(t, upstream.requestCount(), 1)
		})
	}
}

func TestHandler_PassesResponsesWithoutBody(t *testing.T) {
	upstream := startReplica(t, "i-1", func(connection net.Conn, request *http.Request) bool {
		if request.Method == "HEAD" {
			_, _ = io.WriteString(connection, responseHead("200 OK", request, "seal-1", "Content-Length: 12"))
		} else {
			_, _ = io.WriteString(connection, responseHead("204 Nothing", request, "seal-1"))
		}
		return true
	})
	clientConn := startServer(t, upstream).connect(t)
	_, _ = io.WriteString(clientConn, post("/once/", "a"))
	raw := ""
	for !strings.HasSuffix(raw, "\r\n\r\n") {
		line, err := clientConn.reader.ReadString('\n')
		assert.NilError(t, err)
		raw += line
	}
	assert.Assert(t, strings.HasPrefix(raw, "HTTP/1.1 204"), raw)
	assert.Assert(t, !strings.Contains(raw, "Content-Length"), raw)
	response := clientConn.exchange("HEAD", strings.Replace(requestWithBody("/once/", "b", ""), "POST", "HEAD", 1))
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, response.header.Get("Content-Length"), "12")
}

// brokenStream returns a script that sends events and closes the connection before the end of the stream.
func brokenStream(seal, events string) script {
	return func(connection net.Conn, request *http.Request) bool {
		lines := responseHead("200 OK", request, seal, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		_, _ = io.WriteString(connection, lines+chunk(events))
		return false
	}
}

// completeStream returns a script that sends a complete stream of events with the content type.
func completeStream(seal, kind, events string) script {
	return func(connection net.Conn, request *http.Request) bool {
		lines := responseHead("200 OK", request, seal, "Content-Type: "+kind, "Transfer-Encoding: chunked")
		_, _ = io.WriteString(connection, lines+chunk(events)+"0\r\n\r\n")
		return true
	}
}

func TestHandler_ResumedStreamContinuesAfterLastEvent(t *testing.T) {
	const firstEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	for name, test := range map[string]struct {
		kind, rest string
		complete   bool
	}{
		"next event":        {"text/event-stream", "id: 3\ndata: x\n\n", true},
		"first event again": {"text/event-stream", firstEvents, false},
		"not a stream":      {"application/json", "{}", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resumes := func(connection net.Conn, request *http.Request) bool {
				if request.Header.Get(replica.HeaderLastEventID) == "2" {
					return completeStream("seal-2", test.kind, test.rest)(connection, request)
				}
				return brokenStream("seal-1", firstEvents)(connection, request)
			}
			first, second := startReplica(t, "i-1", resumes), startReplica(t, "i-2", resumes)
			response := startServer(t, first, second).send(t, post("/events/", "a"))
			assert.Equal(t, response.header.Get(replica.HeaderSeal), "seal-1")
			assert.Equal(t, response.broken, !test.complete)
			want := firstEvents
			if test.complete {
				want += test.rest
			}
			assert.Equal(t, response.body, want)
			assert.Equal(t, first.requestCount()+second.requestCount(), 2)
		})
	}
}

func TestHandler_SilentReplicaTimesOut(t *testing.T) {
	upstream := startReplica(t, "i-1", func(net.Conn, *http.Request) bool { time.Sleep(time.Second); return false })
	start := time.Now()
	response := startServer(t, upstream).send(t, post("/once/", "a"))
	assert.Equal(t, response.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(start) < 700*time.Millisecond, "served for %s", time.Since(start))
	assert.Equal(t, upstream.requestCount(), 1)
}

func TestHandler_ClientThatDoesNotReadTimesOut(t *testing.T) {
	upstream := startReplica(t, "i-1", func(connection net.Conn, request *http.Request) bool {
		fmt.Fprintf(connection, "%s", responseHead("200 OK", request, "seal-1", "Content-Length: 100000000"))
		content := make([]byte, 1<<20)
		for range 100 {
			if _, err := connection.Write(content); err != nil {
				return false
			}
		}
		return true
	})
	server := startServer(t, upstream)
	clientConn := server.connect(t)
	start := time.Now()
	_, _ = io.WriteString(clientConn, post("/once/", "a"))
	for upstream.requestCount() == 0 || server.handler.InFlight() > 0 {
		assert.Assert(t, time.Since(start) < 900*time.Millisecond, "still served")
		time.Sleep(10 * time.Millisecond)
	}
}

// unreachableNetwork is a network on which connection attempts time out.
type unreachableNetwork struct{ peer.HostNetwork }

func (unreachableNetwork) DialFunc(time.Duration, time.Duration) peer.DialFunc {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return nil, context.DeadlineExceeded
	}
}

func TestHandler_ConnectTimeoutIsNotExecuted(t *testing.T) {
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	server := startServerWith(t, serverOptions{network: unreachableNetwork{}}, upstream)
	response := server.send(t, post("/once/", "a"))
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, response.header.Get("Retry-After") != "")
	assert.Equal(t, upstream.requestCount(), 0)
}

func TestHandler_RefusedConnectionIsNotExecuted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := &scriptedReplica{id: "i-1", address: listener.Addr().String()}
	listener.Close()
	response := startServer(t, unreachable).send(t, post("/once/", "a"))
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Equal(t, response.header.Get(replica.HeaderSeal), "")
}
