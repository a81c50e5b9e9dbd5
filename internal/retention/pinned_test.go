package retention

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestRecord_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"policy":            new(Policy),
		"scope":             new(Scope),
		"order":             new(Purge),
		"copy at a replica": new(Target),
		"stored orders":     new(Record),
		"node":              new(NodeStatus),
		"status":            new(Status),
	})
}

func TestStatus_WordsStayTheSame(t *testing.T) {
	purge := Purge{
		Number: 3, DataPlanes: []string{"edge-1", "edge-2", "edge-3"}, TargetsListed: true,
		Targets: []Target{{Replica: "r", Model: "m", State: Done}},
	}
	views := map[string]DataPlaneView{"edge-1": {Applied: 3}, "edge-2": {Left: true}, "edge-3": {Applied: 2}}
	pinned.CheckJSON(t, "testdata/status.json", purge.Status(views))
}
