package replica

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// nonIdempotentShapes are request shapes that net/http may consider replayable, and one that it does not.
var nonIdempotentShapes = map[string]func(attempt string) UpstreamRequest{
	"POST with a body":  func(attempt string) UpstreamRequest { return testRequest(http.MethodPost, attempt, "prompt") },
	"POST without":      func(attempt string) UpstreamRequest { return testRequest(http.MethodPost, attempt, "") },
	"GET":               func(attempt string) UpstreamRequest { return testRequest(http.MethodGet, attempt, "") },
	"HEAD":              func(attempt string) UpstreamRequest { return testRequest(http.MethodHead, attempt, "") },
	"OPTIONS":           func(attempt string) UpstreamRequest { return testRequest(http.MethodOptions, attempt, "") },
	"key and a body":    func(attempt string) UpstreamRequest { return withIdempotencyKey("Idempotency-Key", attempt, "prompt") },
	"key without":       func(attempt string) UpstreamRequest { return withIdempotencyKey("Idempotency-Key", attempt, "") },
	"other key without": func(attempt string) UpstreamRequest { return withIdempotencyKey("X-Idempotency-Key", attempt, "") },
}

func withIdempotencyKey(name, attempt, body string) UpstreamRequest {
	upstream := testRequest(http.MethodPost, attempt, body)
	upstream.Header.Set(name, "key")
	return upstream
}

func TestForwarder_AcceptsOnlyResponseToItsAttempt(t *testing.T) {
	const own = HeaderAttemptID + ": a\r\n"
	const seal = HeaderSeal + ": s\r\n"
	const empty = "Content-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		response string
		want     Verdict
	}{
		"valid":               {validResponse("a"), VerdictAnswered},
		"other id":            {validResponse("b"), VerdictUnknown},
		"two ids":             {"HTTP/1.1 200 OK\r\n" + own + HeaderAttemptID + ": b\r\n" + seal + empty, VerdictUnknown},
		"no id":               {"HTTP/1.1 200 OK\r\n" + seal + empty, VerdictUnknown},
		"no seal":             {"HTTP/1.1 200 OK\r\n" + own + empty, VerdictUnknown},
		"encoded":             {"HTTP/1.1 200 OK\r\n" + own + seal + "Content-Encoding: gzip\r\n" + empty, VerdictUnknown},
		"encoded failure":     {"HTTP/1.1 500 No\r\n" + own + seal + "Content-Encoding: gzip\r\n" + empty, VerdictUnknown},
		"no framing":          {"HTTP/1.1 200 OK\r\n" + own + seal + "Connection: close\r\n\r\nbytes", VerdictUnknown},
		"early hints first":   {"HTTP/1.1 103 Early Hints\r\n\r\n" + validResponse("a"), VerdictAnswered},
		"protocol switch":     {"HTTP/1.1 101 Switching\r\n" + own + seal + "Upgrade: x\r\nConnection: Upgrade\r\n\r\n", VerdictUnknown},
		"rejection":           {rejection("a"), VerdictRejected},
		"rejection, other id": {rejection("b"), VerdictUnknown},
		"rejected but 200":    {"HTTP/1.1 200 OK\r\n" + own + seal + HeaderNotExecuted + ": 1\r\n" + empty, VerdictUnknown},
		"503, not rejected":   {"HTTP/1.1 503 No\r\n" + own + empty, VerdictAnswered},
		"408 without id":      {"HTTP/1.1 408 Late\r\n" + empty, VerdictUnknown},
		"421":                 {"HTTP/1.1 421 No\r\n" + own + empty, VerdictNotLoaded},
		"421, other id":       {"HTTP/1.1 421 No\r\n" + HeaderAttemptID + ": b\r\n" + empty, VerdictUnknown},
		"421, other replica":  {"HTTP/1.1 421 No\r\n" + own + HeaderReplicaID + ": i-2\r\n" + empty, VerdictReplaced},
		"421 without id":      {"HTTP/1.1 421 No\r\n" + empty, VerdictNotLoaded},
		"garbage":             {"\x00\x01garbage\r\n\r\n", VerdictUnknown},
		"truncated head":      {"HTTP/1.1 200 OK\r\nFerry", VerdictUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, func(connection *scriptedConnection) {
				if connection.next() != nil {
					connection.write("%s", test.response)
				}
			})
			verdict, _ := send(t, testForwarder(), server, testRequest(http.MethodPost, "a", "prompt"))
			assert.Equal(t, verdict, test.want)
			assert.Equal(t, server.readCount("a"), 1)
		})
	}
}

func TestForwarder_SendsAtMostOnceOnNewConnection(t *testing.T) {
	for name, fault := range map[string]func(connection *scriptedConnection){
		"reset before reading": func(connection *scriptedConnection) { connection.reset() },
		"close before reading": func(connection *scriptedConnection) { connection.Close() },
		"reset in the middle": func(connection *scriptedConnection) {
			_, _ = connection.Read(make([]byte, 20))
			connection.reset()
		},
		"reset after reading": func(connection *scriptedConnection) { connection.next(); connection.reset() },
		"close after reading": func(connection *scriptedConnection) { connection.next(); connection.Close() },
		"silence": func(connection *scriptedConnection) {
			connection.readAll()
		},
	} {
		for shape, compose := range nonIdempotentShapes {
			t.Run(name+" "+shape, func(t *testing.T) {
				t.Parallel()
				server := startServer(t, fault)
				verdict, _ := send(t, testForwarder(), server, compose("a"))
				assert.Assert(t, verdict != VerdictAnswered)
				assert.Assert(t, server.readCount("a") <= 1, "read %d times", server.readCount("a"))
				assert.Assert(t, server.readCount("a") == 0 || !verdict.NotExecuted(), "a request that was read may have been executed")
			})
		}
	}
}

// breakSecondRequest returns a server function that responds to the first request of each connection, reads the second and then
// calls end.
func breakSecondRequest(end func(connection *scriptedConnection)) func(connection *scriptedConnection) {
	return func(connection *scriptedConnection) {
		if request := connection.next(); request != nil {
			connection.respond(request.Header.Get(HeaderAttemptID))
		}
		if connection.next() != nil {
			end(connection)
		}
	}
}

var connectionEnds = map[string]func(connection *scriptedConnection){
	"reset": func(connection *scriptedConnection) { connection.reset() },
	"close": func(connection *scriptedConnection) { connection.Close() },
	"408": func(connection *scriptedConnection) {
		connection.write("HTTP/1.1 408 Late\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	},
	"garbage": func(connection *scriptedConnection) { connection.write("garbage\r\n\r\n") },
}

func TestForwarder_DoesNotResendAfterReusedConnectionBreaks(t *testing.T) {
	for name, end := range connectionEnds {
		for shape, compose := range nonIdempotentShapes {
			t.Run(name+" "+shape, func(t *testing.T) {
				t.Parallel()
				server, forwarder := startServer(t, breakSecondRequest(end)), testForwarder()
				verdict, _ := send(t, forwarder, server, testRequest(http.MethodPost, "first", "prompt"))
				assert.Equal(t, verdict, VerdictAnswered)
				verdict, _ = send(t, forwarder, server, compose("once"))
				assert.Assert(t, !verdict.NotExecuted() && verdict != VerdictAnswered, "verdict %d", verdict)
				assert.Equal(t, server.readCount("once"), 1)
			})
		}
	}
}

// TestHTTPClient_ResendsAfterReusedConnectionBreaks shows the failure that the test above guards against: net/http's own client
// resends a request with an idempotency key after a reused connection breaks.
func TestHTTPClient_ResendsAfterReusedConnectionBreaks(t *testing.T) {
	server := startServer(t, breakSecondRequest(func(connection *scriptedConnection) { connection.reset() }))
	plain := &http.Client{Transport: &http.Transport{}}
	post := func(attempt string) {
		request, err := http.NewRequest(http.MethodPost, "http://"+server.address, strings.NewReader("prompt"))
		assert.NilError(t, err)
		request.Header.Set(HeaderAttemptID, attempt)
		request.Header.Set("Idempotency-Key", "key")
		if response, err := plain.Do(request); err == nil {
			response.Body.Close()
		}
	}
	get := func(attempt string) {
		request, err := http.NewRequest(http.MethodGet, "http://"+server.address, nil)
		assert.NilError(t, err)
		request.Header.Set(HeaderAttemptID, attempt)
		response, err := plain.Do(request)
		assert.NilError(t, err)
		_, _ = response.Body.Read(make([]byte, 100))
		response.Body.Close()
	}
	get("first")
	post("twice")
	assert.Equal(t, server.readCount("twice"), 2)
}

func TestForwarder_ReplacesClosedIdleConnection(t *testing.T) {
	for name, ending := range map[string]string{
		"silently":                 "",
		"with 408":                 "HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n",
		"after stray bytes":        "stray bytes",
		"after duplicate response": validResponse("first"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, func(connection *scriptedConnection) {
				request := connection.next()
				if request == nil {
					return
				}
				connection.respond(request.Header.Get(HeaderAttemptID))
				connection.write("%s", ending)
			})
			forwarder := testForwarder()
			for _, attempt := range []string{"first", "second", "third"} {
				verdict, body := send(t, forwarder, server, testRequest(http.MethodPost, attempt, "prompt"))
				assert.Equal(t, verdict, VerdictAnswered)
				assert.Equal(t, body, "body for "+attempt)
				assert.Equal(t, server.readCount(attempt), 1)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}
