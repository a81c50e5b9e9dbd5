package modelcheck

import (
	"encoding/json"
	"fmt"
)

// stateID identifies an entry of a table.
type stateID = uint32

// table interns values. Values are equal if they have the same canonical encoding: JSON with sorted map keys, followed by
// the encoding of the state that JSON omits.
type table[T any] struct {
	values []*T
	ids    map[string]stateID
	// unencoded encodes the state that JSON omits. It may be nil.
	unencoded func(value *T) string
}

func newTable[T any](unencoded func(value *T) string) *table[T] {
	return &table[T]{ids: map[string]stateID{}, unencoded: unencoded}
}

// add returns the identifier of a value, which must not be modified afterwards.
func (t *table[T]) add(value *T) stateID {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("cannot encode state: %v", err))
	}
	encoding := string(encoded)
	if t.unencoded != nil {
		encoding += t.unencoded(value)
	}
	if known, found := t.ids[encoding]; found {
		return known
	}
	next := stateID(len(t.values))
	t.values = append(t.values, value)
	t.ids[encoding] = next
	return next
}

func (t *table[T]) get(id stateID) *T { return t.values[id] }
