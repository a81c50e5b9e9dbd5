package dataplane

import (
	"net/http"
	"testing"

	"github.com/go-chi/chi/v5"
	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

func TestQuotaStatus_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{"limits of tenants": new(quotaStatus)})
}

// pathsOf returns the methods and paths that a handler serves.
func pathsOf(t *testing.T, handler http.Handler) []string {
	t.Helper()
	var paths []string
	router, routed := handler.(chi.Routes)
	assert.Assert(t, routed)
	walked := chi.Walk(router, func(method, path string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		paths = append(paths, method+" "+path)
		return nil
	})
	assert.NilError(t, walked)
	return paths
}

func TestNode_StatusPathsStayTheSame(t *testing.T) {
	pinned.CheckJSON(t, "testdata/readiness.json", pathsOf(t, (&Node{}).statusRoutes()))
}

func TestQuotas_PeerPathsStayTheSame(t *testing.T) {
	pinned.CheckJSON(t, "testdata/peer_paths.json", pathsOf(t, (&Quotas{}).routes()))
}
