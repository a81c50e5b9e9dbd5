package replica

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/httpforms"
)

// Guards against a response that the data plane and a replica's other clients would end at different bytes: what follows it on the
// connection could reach another client.
func TestForwarder_AmbiguousResponseNeverCounts(t *testing.T) {
	for _, form := range httpforms.AmbiguousResponses() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			server := httpforms.StartServer(t, func(request *http.Request) string {
				attempt := request.Header.Get(HeaderAttemptID)
				if attempt == "second" {
					return validResponse(attempt)
				}
				line, rest, _ := strings.Cut(form.Raw, "\r\n")
				own := HeaderAttemptID + ": " + attempt + "\r\n" + HeaderSeal + ": s\r\n"
				return line + "\r\n" + own + rest + httpforms.Stray
			})
			replica := &scriptedServer{address: server.Address}
			forwarder := testForwarder()
			response, verdict := forwarder.Send(t.Context(), replica.target(t), testRequest(http.MethodPost, "first", "prompt"))
			if verdict == VerdictAnswered {
				_, err := io.ReadAll(response.Body)
				assert.Assert(t, err != nil, "the response looks complete")
				response.Body.Close()
			} else {
				assert.Equal(t, verdict, VerdictUnknown)
			}
			verdict, body := send(t, forwarder, replica, testRequest(http.MethodPost, "second", "prompt"))
			assert.Equal(t, verdict, VerdictAnswered)
			assert.Equal(t, body, "body for second")
			assert.Equal(t, server.Connections.Load(), int64(2))
		})
	}
}
