package lease

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestRecord_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{"stored lease": new(Record)})
}
