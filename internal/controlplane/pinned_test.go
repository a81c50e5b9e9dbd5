package controlplane

import (
	"net/http"
	"testing"

	"github.com/go-chi/chi/v5"
	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane/members"
	"ferryspar/internal/controlplane/roster"
	"ferryspar/internal/test/pinned"
)

func TestReplies_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"answer to a share of the roster": new(roster.UpdateReply),
		"answer to a greeting":            new(members.HeartbeatReply),
	})
}

func TestDaemon_PathsForPeersStayTheSame(t *testing.T) {
	var paths []string
	router, routed := (&Node{}).peerRoutes().(chi.Routes)
	assert.Assert(t, routed)
	walked := chi.Walk(router, func(method, path string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		paths = append(paths, method+" "+path)
		return nil
	})
	assert.NilError(t, walked)
	pinned.CheckJSON(t, "testdata/peer_paths.json", paths)
}
