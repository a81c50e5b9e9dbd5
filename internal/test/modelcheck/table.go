package modelcheck

import (
	"encoding/json"
	"fmt"
)

// stateID identifies an entry of a table.
type stateID = uint32

// table keeps each distinct value once. Values are distinguished by a canonical encoding: JSON
// with sorted maps, and the printed form of what JSON leaves out.
type table[T any] struct {
	values []*T
	ids    map[string]stateID
	// unencoded gives what JSON leaves out, and may be nil.
	unencoded func(value *T) string
}

func newTable[T any](unencoded func(value *T) string) *table[T] {
	return &table[T]{ids: map[string]stateID{}, unencoded: unencoded}
}

// add gives the identifier of a value. The value must not be changed afterwards.
func (t *table[T]) add(value *T) stateID {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("value without an encoding: %v", err))
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
