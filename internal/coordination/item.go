package coordination

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an item. The words are part of the keys on disk.
type Kind string

// The kinds.
const (
	KindLock    Kind = "lock"
	KindCounter Kind = "number"
	KindGroup   Kind = "group"
)

// ErrUnknownKind is returned for a kind that this version does not know.
var ErrUnknownKind = errors.New("unknown kind of item")

// Config holds the bounds that a deployment sets.
type Config struct {
	// EventRetention is how long an event stays available to watches after its put.
	EventRetention time.Duration
}

// Item is the state of one lock, counter or group at its owner. It is used by one goroutine at a time.
//
// What is remembered beside Value (until when a lock is held, when an event was put) is known to this owner only, and is opened
// anew, by the safe side, under each ownership.
type Item interface {
	// Apply answers a call that is decided at now, a reading of the owner's steady clock, and says whether it changed the
	// Value, which must then be on a majority of disks before the answer is given. If that fails the item is opened again.
	Apply(call Call, now time.Time) (result Result, changed bool)
	// Value is what is stored.
	Value() json.RawMessage
	// VolatileState is what the owner knows beside Value.
	VolatileState() VolatileState
}

// VolatileState is what an owner of an item knows beside its value. It passes from one ownership to the next if both are of one process
// and nobody else has owned the item between them.
type VolatileState struct {
	lock lockMemory
}

// ItemSummary is one item as a member's disk has it.
type ItemSummary struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Owner is the address of the node that has the member's promise.
	Owner string `json:"owner"`
	// Bytes is the size of the stored value.
	Bytes int `json:"bytes"`
}

// Open returns the item that has a stored value, or none yet, for an owner that took it over before now. known is what the owner
// knows of the item from before, the zero Memory if another may have owned it since.
func Open(kind Kind, value json.RawMessage, now time.Time, config Config, known VolatileState) (Item, error) {
	switch kind {
	case KindLock:
		return openLock(value, now, known.lock)
	case KindCounter:
		return openCounter(value)
	case KindGroup:
		return openGroup(value, now, config)
	}
	return nil, errors.Wrapf(ErrUnknownKind, "%q", string(kind))
}

// decodeValue decodes a stored value, which is empty for an item that was never written. An error must not be passed over: an
// item that began anew would give out fences, numbers and revisions a second time.
func decodeValue(value json.RawMessage, record any) error {
	if len(value) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(value, record), "stored value")
}

// encodeValue encodes a record of this package, which has no type that JSON lacks.
func encodeValue(record any) json.RawMessage {
	content, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return content
}
