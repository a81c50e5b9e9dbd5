package retention

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestRecord_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"policy":            new(Policy),
		"scope":             new(Scope),
		"order":             new(Item),
		"copy at a replica": new(Pair),
		"stored orders":     new(Record),
		"node":              new(Node),
		"status":            new(Status),
	})
}

func TestStatus_WordsStayTheSame(t *testing.T) {
	item := Item{
		Number: 3, Edges: []string{"edge-1", "edge-2", "edge-3"}, Counted: true,
		Pairs: []Pair{{Replica: "r", Model: "m", State: Done}},
	}
	views := map[string]EdgeView{"edge-1": {Applied: 3}, "edge-2": {Left: true}, "edge-3": {Applied: 2}}
	pinned.CheckJSON(t, "testdata/status.json", item.Status(views))
}
