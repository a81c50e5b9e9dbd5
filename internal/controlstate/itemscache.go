package controlstate

import (
	"bytes"
	"encoding/json"
	"sync"

	"ferryspar/internal/configuration"
)

// itemsCache holds the items of the configuration that was used last, which is usually the base of the next change. It is safe
// for concurrent use; the zero value is empty.
type itemsCache struct {
	lock sync.Mutex
	// value is the stored record that items were decoded from.
	value []byte
	items *configuration.IndexedDocument
}

// get returns the indexed document of a stored record. The error is configuration.ErrNotIndexable if the document cannot be
// indexed.
func (c *itemsCache) get(value []byte, record ConfigurationRecord) (*configuration.IndexedDocument, error) {
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
	items, err := configuration.IndexDocument(content, decoded)
	if err != nil {
		return nil, err
	}
	c.value, c.items = value, items
	return items, nil
}

// put caches the items of a record that is about to be stored. If storing it fails, get does not return them, because the value
// differs.
func (c *itemsCache) put(value []byte, items *configuration.IndexedDocument) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.value, c.items = value, items
}

// memoizeDecision caches the last result of decide, so that repeating a decision on the same value is cheap. A change is decided
// on the committed value first, to reject invalid calls early, and again when the key is owned.
func memoizeDecision(decide func(value json.RawMessage) (json.RawMessage, error)) func(value json.RawMessage) (json.RawMessage, error) {
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
