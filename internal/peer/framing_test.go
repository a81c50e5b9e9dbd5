package peer

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/httpforms"
)

// Guards against a reply of another node that ends at different bytes for both nodes.
func TestClient_RejectsAmbiguousReply(t *testing.T) {
	for _, form := range httpforms.AmbiguousResponses() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			server := httpforms.StartServer(t, func(*http.Request) string {
				if calls.Add(1) > 1 {
					return httpReply("200 OK", "{}")
				}
				return strings.ReplaceAll(form.Raw, httpforms.ResponseBody, `{    }`) + httpforms.Stray
			})
			client := NewClient(HostNetwork{})
			assert.Assert(t, callPeer(t, client, MethodHeartbeat, server.Address) != nil)
			assert.NilError(t, callPeer(t, client, MethodHeartbeat, server.Address))
			assert.Equal(t, server.Connections.Load(), int64(2))
		})
	}
}
