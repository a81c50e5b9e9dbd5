package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

// chunkedEncoding is the header line of a message with a chunked body.
const chunkedEncoding = "Transfer-Encoding: chunked"

// requestWithBody returns a raw request with the given header lines instead of Content-Length, followed by the raw body.
func requestWithBody(target, attempt, body string, lines ...string) string {
	withBody := strings.Replace(post(target, attempt, lines...), "Content-Length: 6\r\n", "", 1)
	return strings.TrimSuffix(withBody, "prompt") + body
}

func TestHandler_ForwardsRequestUnchanged(t *testing.T) {
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	clientConn := startServer(t, upstream).connect(t)
	for number, test := range []struct{ name, raw string }{
		{"dots in path", post("/once/a/../b", "a")},
		{"encoded path", post("/once//b%2Fc?", "a")},
		{"odd query", post("/once/?x=%20&&y", "a")},
		{"absolute", post("http://shop.example/once/%2F/?x=%20", "a")},
		{"expects continue", post("/once/", "a", "Expect: 100-continue")},
		{"idempotency key", post("/once/", "a", "Idempotency-Key: k")},
		{"chunks", requestWithBody("/once/", "a", "3\r\npro\r\n3\r\nmpt\r\n0\r\n\r\n", chunkedEncoding)},
		{"trailer", requestWithBody("/once/", "a", "6\r\nprompt\r\n0\r\nSum: 1\r\n\r\n", chunkedEncoding, "Trailer: Sum")},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := strings.TrimPrefix(strings.Fields(test.raw)[1], "http://shop.example")
			response := clientConn.exchange("POST", test.raw)
			if response.status == http.StatusContinue {
				response = clientConn.exchange("POST", "")
			}
			assert.Equal(t, response.status, http.StatusOK)
			assert.Equal(t, response.body, "words")
			assert.Equal(t, upstream.requestCount(), number+1)
			request := upstream.requests[number]
			assert.Equal(t, request.RequestURI, target)
			assert.Equal(t, request.Host, "shop.example")
			assert.Equal(t, upstream.bodies[number], "prompt")
			assert.Equal(t, request.ContentLength, int64(len("prompt")))
			assert.Equal(t, len(request.TransferEncoding), 0)
		})
	}
}

func TestHandler_RejectsRequestSmuggling(t *testing.T) {
	const noChunks = "0\r\n\r\n"
	hidden := post("/once/hidden", "hidden")
	for name, raw := range map[string]string{
		"two hosts":            post("/once/", "a", "Host: other.example"),
		"two ids":              post("/once/", "a", replica.HeaderAttemptID+": b"),
		"two lengths":          post("/once/", "a", "Content-Length: 7"),
		"length and chunks":    post("/once/", "a", chunkedEncoding) + "\r\n",
		"chunks of two kinds":  requestWithBody("/once/", "a", noChunks+hidden, chunkedEncoding, "Transfer-Encoding: identity"),
		"space before colon":   requestWithBody("/once/", "a", noChunks, "Transfer-Encoding : chunked"),
		"foreign target":       post("http://other.example/once/", "a"),
		"line break in target": post("/once/\r\nX: y", "a"),
		"no target":            post("*", "a"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
			response := startServer(t, upstream).send(t, raw)
			assert.Assert(t, response.status >= 400 || response.broken, "status %d", response.status)
			assert.Equal(t, upstream.requestCount(), 0)
		})
	}
}

func TestHandler_ChunkedRequestWithContentLengthIsFramedOnce(t *testing.T) {
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	clientConn := startServer(t, upstream).connect(t)
	raw := requestWithBody("/once/", "a", "6\r\nprompt\r\n0\r\n\r\n", "Content-Length: 3", chunkedEncoding)
	response := clientConn.exchange("POST", raw)
	assert.Assert(t, response.status == http.StatusOK || response.status == http.StatusBadRequest, "status %d", response.status)
	for _, body := range upstream.bodies {
		assert.Equal(t, body, "prompt")
	}
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, upstream.requestCount() <= 1)
}

func TestHandler_RejectsFoldedHeaderLines(t *testing.T) {
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	response := startServer(t, upstream).send(t, post("/once/", "a", "Note: one", " Two: three"))
	assert.Equal(t, response.status, http.StatusBadRequest)
	assert.Equal(t, upstream.requestCount(), 0)
}

func TestLimitedListener_KeepsConnectionWithinIdleTimeout(t *testing.T) {
	const idle = 400 * time.Millisecond
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	clientConn := startServerWith(t, serverOptions{head: 50 * time.Millisecond, idle: idle}, upstream).connect(t)
	for range 2 {
		time.Sleep(idle * 4 / 5)
		response := clientConn.exchange("POST", post("/once/", "a"))
		assert.Equal(t, response.status, http.StatusOK)
	}
	idleSince := time.Now()
	_, err := clientConn.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, time.Since(idleSince) > idle-50*time.Millisecond, "closed after %s", time.Since(idleSince))
	assert.Equal(t, upstream.requestCount(), 2)
}

func TestHandler_FinishesRequestAfterRouteRemoved(t *testing.T) {
	var server *testServer
	upstream := startReplica(t, "i-1", func(connection net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(connection, responseHead("200 OK", request, "seal-1", "Content-Length: 8")+"part")
		withoutRoutes := configuration.NewTable(configuration.Configuration{Revision: 2}, nil)
		server.snapshot.Store(&routing.Snapshot{Table: withoutRoutes, DataPlaneCount: 1})
		server.handler.matcher.SnapshotChanged()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(connection, "part")
		return true
	})
	server = startServer(t, upstream)
	clientConn := server.connect(t)
	response := clientConn.exchange("POST", post("/once/", "a"))
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, response.body, "partpart")
	assert.Equal(t, clientConn.exchange("POST", post("/once/", "b")).status, http.StatusNotFound)
	assert.Equal(t, upstream.requestCount(), 1)
}

func TestLimitedListener_IncompleteHeadTimesOut(t *testing.T) {
	clientConn := startServerWith(t, serverOptions{head: 80 * time.Millisecond, idle: 2 * time.Second}).connect(t)
	start := time.Now()
	response := clientConn.exchange("POST", "POST /once/ HTTP/1.1\r\nHost: shop")
	assert.Equal(t, response.status, http.StatusRequestTimeout)
	assert.Assert(t, time.Since(start) < time.Second)
}
