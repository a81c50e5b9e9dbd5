package controlplane

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestReplies_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"answer to a share of the roster": new(rosterReply),
		"answer to a greeting":            new(greeted),
	})
}
