package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/bodybudget"
	"ferryspar/internal/replica"
)

// beginBody opens a connection and sends a request whose body lacks its last byte.
func (s *testServer) beginBody(t *testing.T, attempt string, size int) *testClient {
	connection := s.connect(t)
	fmt.Fprintf(connection, "POST /once/ HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: swift\r\nContent-Length: %d\r\n\r\n%s",
		replica.HeaderAttemptID, attempt, replica.HeaderModel, size, strings.Repeat("x", size-1))
	return connection
}

func (s *testServer) awaitUsage(t *testing.T, met func(bodybudget.Usage) bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); !met(s.handler.bodies.Usage()); {
		assert.Assert(t, time.Now().Before(deadline), "usage %+v", s.handler.bodies.Usage())
		time.Sleep(time.Millisecond)
	}
}

// Guards against unfinished bodies that together exceed the memory of the process (Fault).
func TestHandler_UnfinishedBodiesStayWithinTheBudget(t *testing.T) {
	const size, limit = 100 << 10, 1 << 20
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	server := startServerWith(t, serverOptions{bodyBytes: limit, timeoutMs: 30000}, upstream)
	var slow []*testClient
	for number := range 30 {
		slow = append(slow, server.beginBody(t, fmt.Sprintf("slow%d", number), size))
		usage := server.handler.bodies.Usage()
		assert.Assert(t, usage.Reading+usage.Held <= limit, "usage %+v", usage)
	}
	assert.Equal(t, server.send(t, post("/once/", "ordinary")).status, http.StatusOK)
	rejected := 0
	for _, connection := range slow {
		_ = connection.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if response := connection.exchange(http.MethodPost, ""); !response.broken {
			rejected++
			assert.Equal(t, response.status, http.StatusServiceUnavailable)
			_, err := connection.reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		}
		connection.Close()
	}
	assert.Assert(t, rejected >= 20 && rejected < 30, "%d rejected", rejected)
	assert.DeepEqual(t, upstream.attemptIDs(), []string{"ordinary"})
	server.awaitUsage(t, func(usage bodybudget.Usage) bool { return usage == bodybudget.Usage{} })
}

func TestHandler_BodyThatIsLateGets408(t *testing.T) {
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	server := startServer(t, upstream)
	connection := server.beginBody(t, "late", 100)
	startedAt := time.Now()
	response := connection.exchange(http.MethodPost, "")
	assert.Equal(t, response.status, http.StatusRequestTimeout)
	assert.Assert(t, time.Since(startedAt) > 200*time.Millisecond, "the route allows 300 ms")
	assert.Equal(t, upstream.requestCount(), 0)
	server.awaitUsage(t, func(usage bodybudget.Usage) bool { return usage == bodybudget.Usage{} })
}

// Guards against a read deadline of the body that ends the request behind it.
func TestHandler_BodyDeadlineEndsWithTheBody(t *testing.T) {
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	connection := startServer(t, upstream).connect(t)
	for number := range 3 {
		assert.Equal(t, connection.exchange(http.MethodPost, post("/once/", fmt.Sprint(number))).status, http.StatusOK)
		time.Sleep(400 * time.Millisecond)
	}
}
