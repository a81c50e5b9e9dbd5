package replica

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestForwarder_PreservesRequestTarget(t *testing.T) {
	server := startServer(t, func(connection *scriptedConnection) {
		for request := connection.next(); request != nil; request = connection.next() {
			connection.respond(request.Header.Get(HeaderAttemptID))
		}
	})
	forwarder := testForwarder()
	for number, target := range []string{
		"/a/../b", "/./a/", "/a//b", "/a%2Fb", "/%2e%2e/", "/a?",
		"/a?x=%20&y=a+b", "/a?x?y", "/a;b=c", "/a:b@c", "//a/b", "//a%2Fb?x", "//a?",
	} {
		assert.Assert(t, ValidRequestTarget(target), target)
		upstream := testRequest(http.MethodPost, string(rune('a'+number)), "prompt")
		upstream.URI = target
		verdict, _ := send(t, forwarder, server, upstream)
		assert.Equal(t, verdict, VerdictAnswered)
		assert.Equal(t, server.received()[number].request.RequestURI, target)
		assert.Equal(t, server.received()[number].body, "prompt")
	}
	for _, target := range []string{"*", "http://shop.example/a", "//a%ZZ", `//a"b`} {
		assert.Assert(t, !ValidRequestTarget(target), target)
	}
}

func TestForwarder_DropsHopByHopHeaders(t *testing.T) {
	server := startServer(t, func(connection *scriptedConnection) {
		connection.next()
		connection.respond("a")
	})
	upstream := testRequest(http.MethodPost, "a", "prompt")
	for name, value := range map[string]string{
		"Connection": "Filler, ferryspar-attempt-id, close", "Filler": "x", "Transfer-Encoding": "chunked", "Content-Length": "99",
		"Expect": "100-continue", "Upgrade": "h2c", "Te": "trailers", HeaderTargetReplica: "i-9", "Kept": "y",
	} {
		upstream.Header.Set(name, value)
	}
	verdict, _ := send(t, testForwarder(), server, upstream)
	assert.Equal(t, verdict, VerdictAnswered)
	sent := server.received()[0].request
	for _, name := range strings.Fields("Connection Filler Transfer-Encoding Expect Upgrade Te") {
		assert.Equal(t, sent.Header.Get(name), "", name)
	}
	assert.Equal(t, sent.ContentLength, int64(len("prompt")))
	assert.DeepEqual(t, sent.Header.Values(HeaderTargetReplica), []string{"i-1"})
	assert.Equal(t, sent.Header.Get(HeaderAttemptID), "a")
	assert.Equal(t, sent.Header.Get("Kept"), "y")
}
