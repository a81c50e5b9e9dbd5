package controlstate

import (
	"bytes"
	"encoding/json"
	"sync"

	"ferryspar/internal/configuration"
)

// itemsCache remembers the configuration that was read last, divided into its items: the next change most often builds on
// it. It is safe for concurrent use; the zero value is empty.
type itemsCache struct {
	lock sync.Mutex
	// value is the stored record that items stand for.
	value []byte
	items *configuration.Items
}

// of returns the items of a stored record, or configuration.ErrIndivisible.
func (c *itemsCache) of(value []byte, record ConfigurationRecord) (*configuration.Items, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.items != nil && bytes.Equal(c.value, value) {
		return c.items, nil
	}
	content, err := configuration.Decompress(record.CompressedDocument)
	if err != nil {
		return nil, err
	}
	decoded, err := configuration.Decode(content)
	if err != nil {
		return nil, err
	}
	items, err := configuration.Divide(content, decoded)
	if err != nil {
		return nil, err
	}
	c.value, c.items = value, items
	return items, nil
}

// put remembers the items of a record that is about to be stored. If it isn't stored after all, they are not found.
func (c *itemsCache) put(value []byte, items *configuration.Items) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.value, c.items = value, items
}

// decideOnce remembers a decision, so that deciding again on the same value costs nothing. A change is decided on what is
// committed, to be rejected early, and once more when its key is owned.
func decideOnce(decide func(value json.RawMessage) (json.RawMessage, error)) func(value json.RawMessage) (json.RawMessage, error) {
	var (
		decided bool
		last    json.RawMessage
		next    json.RawMessage
		err     error
	)
	return func(value json.RawMessage) (json.RawMessage, error) {
		if !decided || !bytes.Equal(last, value) {
			next, err = decide(value)
			decided, last = true, value
		}
		return next, err
	}
}
