package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
	"ferryspar/internal/test/httpforms"
)

// formMessage returns an ordinary request whose form varies.
func formMessage(attempt string) httpforms.Message {
	return httpforms.Message{
		Method: "POST", Target: "/once/", Host: "shop.example", Body: "prompt",
		Fields: replica.HeaderAttemptID + ": " + attempt + "\r\n" + replica.HeaderModel + ": swift\r\n" +
			replica.HeaderTokenCount + ": 10,2\r\n",
	}
}

// attemptIDs returns the ids of the requests that the replica has run.
func (s *scriptedReplica) attemptIDs() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	var ids []string
	for _, request := range s.requests {
		ids = append(ids, request.Header.Get(replica.HeaderAttemptID))
	}
	return ids
}

// Guards against a replica running a request that a client hid in the body of another one, by a message that can be read in two
// ways (UNASKED).
func TestHandler_NeverRunsARequestHiddenInAnother(t *testing.T) {
	for _, form := range httpforms.Requests() {
		for _, kept := range []bool{false, true} {
			t.Run(form.Name, func(t *testing.T) {
				t.Parallel()
				checkForm(t, form, kept)
			})
		}
	}
}

// patientOptions leave ample time for each message, so that a machine that stalls changes no answer.
var patientOptions = serverOptions{head: 30 * time.Second, idle: 30 * time.Second, timeoutMs: 20000}

// checkForm sends a message in the form with a further request behind it, and compares the ids that ran with those that were sent
// as requests.
func checkForm(t *testing.T, form httpforms.Request, kept bool) {
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	clientConn := startServerWith(t, patientOptions, upstream).connect(t)
	var sent []string
	if kept {
		assert.Equal(t, clientConn.exchange(http.MethodPost, post("/once/", "before")).status, http.StatusOK)
		sent = append(sent, "before")
	}
	response := clientConn.exchange(http.MethodPost, form.Raw(formMessage("outer"), post("/once/", "behind")))
	if !form.Served {
		assert.Assert(t, response.status >= http.StatusBadRequest, "status %d", response.status)
		assert.Assert(t, clientConn.exchange(http.MethodPost, "").broken, "the connection serves a further request")
		assert.DeepEqual(t, upstream.attemptIDs(), sent)
		return
	}
	sent = append(sent, "outer")
	assert.Equal(t, response.status, http.StatusOK)
	if !form.EndsConnection {
		assert.Equal(t, clientConn.exchange(http.MethodPost, "").status, http.StatusOK)
		sent = append(sent, "behind")
	}
	assert.DeepEqual(t, upstream.attemptIDs(), sent)
	assert.Equal(t, strings.Join(upstream.bodies, ""), strings.Repeat("prompt", len(sent)))
}
