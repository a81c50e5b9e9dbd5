package replica

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// prefillResponseTo returns the response to a prefill request.
func prefillResponseTo(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderAttemptID, attempt, len(body), body)
}

// serveHandles responds to prefill requests with a handle, to releases with 200, and to other requests with a valid response.
func serveHandles(connection *scriptedConnection) {
	for request := connection.next(); request != nil; request = connection.next() {
		attempt := request.Header.Get(HeaderAttemptID)
		switch {
		case request.Method == http.MethodDelete:
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case request.Header.Get(HeaderServingPhase) == "prefill":
			connection.write("%s", prefillResponseTo(attempt, `{"prefixHandle":"h-`+attempt+`","tokenCount":3,"revision":1}`))
		default:
			connection.respond(attempt)
		}
	}
}

func TestForwarder_HandleIsUsedOnceAndByItsAttemptOnly(t *testing.T) {
	server := startServer(t, serveHandles)
	forwarder := testForwarder()
	upstream := testRequest(http.MethodPost, "a", "prompt")
	handle, verdict := forwarder.Prefill(context.Background(), server.target(t), upstream)
	assert.Equal(t, verdict, VerdictAnswered)

	_, verdict = forwarder.SendDecode(context.Background(), server.target(t), testRequest(http.MethodPost, "b", "prompt"), handle)
	assert.Equal(t, verdict, VerdictNotSent, "another attempt must not use the handle")

	response, verdict := forwarder.SendDecode(context.Background(), server.target(t), upstream, handle)
	assert.Equal(t, verdict, VerdictAnswered)
	response.Body.Close()
	_, verdict = forwarder.SendDecode(context.Background(), server.target(t), upstream, handle)
	assert.Equal(t, verdict, VerdictNotSent, "a handle is used once")

	received := server.received()
	assert.Equal(t, len(received), 2)
	assert.Equal(t, received[0].request.Header.Get(HeaderServingPhase), "prefill")
	assert.Equal(t, received[0].body, "prompt")
	assert.Equal(t, received[1].request.Header.Get(HeaderKVSource), server.address+"/h-a")
	assert.Equal(t, received[1].request.Header.Get(HeaderServingPhase), "")
	assert.Equal(t, received[1].body, "prompt")
}

func TestForwarder_ReleasedHandleIsNotSent(t *testing.T) {
	server := startServer(t, serveHandles)
	forwarder := testForwarder()
	upstream := testRequest(http.MethodPost, "a", "prompt")
	handle, _ := forwarder.Prefill(context.Background(), server.target(t), upstream)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, forwarder.ReleaseHandle(ended, handle), "released even though the request's context is cancelled")
	_, verdict := forwarder.SendDecode(context.Background(), server.target(t), upstream, handle)
	assert.Equal(t, verdict, VerdictNotSent)
	freed := server.received()[1].request
	assert.Equal(t, freed.Method, http.MethodDelete)
	assert.Equal(t, freed.URL.Path, "/ferryspar/kv-handle/h-a")
	assert.Equal(t, freed.Header.Get(HeaderTargetReplica), "i-1")
}

func TestForwarder_DropsClientHandleAndPhaseHeaders(t *testing.T) {
	server := startServer(t, serveHandles)
	upstream := testRequest(http.MethodPost, "a", "prompt")
	upstream.Header.Set(HeaderKVSource, "10.0.0.1:80/foreign")
	upstream.Header.Set(HeaderServingPhase, "prefill")
	verdict, _ := send(t, testForwarder(), server, upstream)
	assert.Equal(t, verdict, VerdictAnswered)
	sent := server.received()[0].request
	assert.Equal(t, sent.Header.Get(HeaderKVSource), "")
	assert.Equal(t, sent.Header.Get(HeaderServingPhase), "")
}

func TestForwarder_AcceptsOnlyPrefillResponseToItsAttempt(t *testing.T) {
	const valid = `{"prefixHandle":"h1","tokenCount":3,"revision":1}`
	for name, test := range map[string]struct {
		response string
		want     Verdict
	}{
		"own":                 {prefillResponseTo("a", valid), VerdictAnswered},
		"other id":            {prefillResponseTo("b", valid), VerdictUnknown},
		"without id":          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", VerdictUnknown},
		"no handle":           {prefillResponseTo("a", `{"tokenCount":3}`), VerdictUnknown},
		"handle with a slash": {prefillResponseTo("a", `{"prefixHandle":"h/../x"}`), VerdictUnknown},
		"handle with CRLF":    {prefillResponseTo("a", `{"prefixHandle":"h\r\nX: y"}`), VerdictUnknown},
		"not JSON":            {prefillResponseTo("a", "event"), VerdictUnknown},
		"generated output":    {validResponse("a"), VerdictUnknown},
		"rejection":           {rejection("a"), VerdictRejected},
		"other phase":         {"HTTP/1.1 421 No\r\n" + HeaderAttemptID + ": a\r\nContent-Length: 0\r\n\r\n", VerdictNotLoaded},
		"failure":             {"HTTP/1.1 500 No\r\n" + HeaderAttemptID + ": a\r\nContent-Length: 0\r\n\r\n", VerdictUnknown},
		"truncated body":      {"HTTP/1.1 200 OK\r\n" + HeaderAttemptID + ": a\r\nContent-Length: 99\r\n\r\n" + valid, VerdictUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, func(connection *scriptedConnection) {
				connection.next()
				connection.write("%s", test.response)
			})
			handle, verdict := testForwarder().Prefill(context.Background(), server.target(t), testRequest(http.MethodPost, "a", "p"))
			assert.Equal(t, verdict, test.want)
			assert.Equal(t, handle != nil, test.want == VerdictAnswered)
		})
	}
}

func TestForwarder_HandleIsReusableAfterReplicaNeverAdmittedIt(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 421 No\r\n" + HeaderAttemptID + ": a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 No\r\n" + HeaderAttemptID + ": a\r\n" + HeaderReplicaID + ": i-2\r\nContent-Length: 0\r\n\r\n",
	} {
		server := startServer(t, serveHandles)
		other := startServer(t, func(connection *scriptedConnection) {
			for connection.next() != nil {
				connection.write("%s", refusal)
			}
		})
		forwarder := testForwarder()
		upstream := testRequest(http.MethodPost, "a", "prompt")
		handle, _ := forwarder.Prefill(context.Background(), server.target(t), upstream)
		_, verdict := forwarder.SendDecode(context.Background(), other.target(t), upstream, handle)
		assert.Assert(t, verdict.NotExecuted())
		assert.Assert(t, handle.Unused(), "another replica may use it")
		response, verdict := forwarder.SendDecode(context.Background(), server.target(t), upstream, handle)
		assert.Equal(t, verdict, VerdictAnswered)
		response.Body.Close()
		assert.Assert(t, !handle.Unused())
	}
}

func TestForwarder_RejectedHandleIsNotSentAgain(t *testing.T) {
	server := startServer(t, serveHandles)
	full := startServer(t, func(connection *scriptedConnection) {
		for connection.next() != nil {
			connection.write("HTTP/1.1 503 Full\r\n%s: a\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", HeaderAttemptID, HeaderNotExecuted)
		}
	})
	forwarder := testForwarder()
	upstream := testRequest(http.MethodPost, "a", "prompt")
	handle, _ := forwarder.Prefill(context.Background(), server.target(t), upstream)
	_, verdict := forwarder.SendDecode(context.Background(), full.target(t), upstream, handle)
	assert.Equal(t, verdict, VerdictRejected)
	assert.Assert(t, !handle.Unused(), "the KV cache may have been fetched")
}
