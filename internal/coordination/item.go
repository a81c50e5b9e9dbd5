package coordination

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an item. Its values are part of the keys on disk and must not change.
type Kind string

// The kinds.
const (
	KindLock    Kind = "lock"
	KindCounter Kind = "number"
	KindGroup   Kind = "group"
)

// ErrUnknownKind is returned for a kind that this version does not know.
var ErrUnknownKind = errors.New("unknown kind of item")

// Config holds the settings of a deployment.
type Config struct {
	// EventRetention is how long an event stays available to watches after its put.
	EventRetention time.Duration
}

// Item is the state of one lock, counter or group at its owner. It is not safe for concurrent use.
//
// State that is not part of Value (when a lock expires, when an event was put) is known to its owner only. A new owner replaces
// it by a conservative bound.
type Item interface {
	// Apply executes a call at now, a reading of the owner's monotonic clock, and reports whether it changed the Value, which
	// must then be stored on a majority of disks before the result is returned to the caller. If storing fails, the item must
	// be discarded and opened again.
	Apply(call Call, now time.Time) (result Result, changed bool)
	// Value returns the state to store.
	Value() json.RawMessage
	// VolatileState returns the state that is not part of Value.
	VolatileState() VolatileState
}

// VolatileState is what the owner of an item knows beyond its stored value. It stays valid from one ownership to the next only if
// both belong to the same process and no other process owned the item in between.
type VolatileState struct {
	lock lockTimes
}

// ItemSummary describes one item as stored on a member's disk.
type ItemSummary struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Owner is the address of the node to which the member has promised the item.
	Owner string `json:"owner"`
	// Bytes is the size of the stored value.
	Bytes int `json:"bytes"`
}

// Open returns the item with a stored value, which is empty for a new item, at an owner that took it over before now. previous is
// the item's state from an earlier ownership of this process, or the zero VolatileState if another process may have owned the
// item since.
func Open(kind Kind, value json.RawMessage, now time.Time, config Config, previous VolatileState) (Item, error) {
	switch kind {
	case KindLock:
		return openLock(value, now, previous.lock)
	case KindCounter:
		return openCounter(value)
	case KindGroup:
		return openGroup(value, now, config)
	}
	return nil, errors.Wrapf(ErrUnknownKind, "%q", string(kind))
}

// decodeValue decodes a stored value, which is empty for an item that was never written. Its error must not be ignored: an item
// that restarted from an empty value would issue fences, numbers and revisions a second time.
func decodeValue(value json.RawMessage, record any) error {
	if len(value) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(value, record), "stored value")
}

// encodeValue encodes a record of this package. It panics on an error, which the types of the records rule out.
func encodeValue(record any) json.RawMessage {
	content, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return content
}
