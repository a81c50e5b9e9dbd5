package coordinator

import (
	"strings"
	"sync"
	"time"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
)

const (
	// MaxItems is the maximum number of locks, counters and groups together.
	MaxItems = 20000
	// countInterval is the minimum interval between two counts of the items.
	countInterval = time.Second
)

// Capacity limits the number of items and the disk space that they take at the members. Items are never deleted, because a lock
// that was created again would issue the same fencing tokens a second time. It is safe for concurrent use.
type Capacity struct {
	// registers returns the registers on this member's disk.
	registers func() map[string]keystore.Register
	maxBytes  int
	clock     func() time.Time

	lock      sync.Mutex
	countedAt time.Time
	items     int
	bytes     int
}

// NewCapacity returns a Capacity that allows maxBytes for all items together.
func NewCapacity(registers func() map[string]keystore.Register, maxBytes int, clock func() time.Time) *Capacity {
	return &Capacity{registers: registers, maxBytes: maxBytes, clock: clock}
}

// Admits reports whether the item of a call exists or may be created. Any call on an unknown name creates the item, because a
// node must obtain the members' promises for its key before it can answer.
func (c *Capacity) Admits(call coordination.Call) bool {
	registers := c.registers()
	if _, exists := registers[storeKey(call)]; exists {
		return true
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if now := c.clock(); c.countedAt.IsZero() || now.Sub(c.countedAt) > countInterval {
		c.count(registers)
		c.countedAt = now
	}
	return c.items < MaxItems && c.bytes < c.maxBytes
}

// count recounts the items and their size. The caller holds the lock.
func (c *Capacity) count(registers map[string]keystore.Register) {
	c.items, c.bytes = 0, 0
	for key, register := range registers {
		if strings.HasPrefix(key, keystore.CoordinationPrefix) {
			c.items++
			c.bytes += len(key) + len(register.Value)
		}
	}
}

// ItemSummaries lists the coordination items among registers in unspecified order.
func ItemSummaries(registers map[string]keystore.Register) []coordination.ItemSummary {
	var summaries []coordination.ItemSummary
	for key, register := range registers {
		item, isItem := strings.CutPrefix(key, keystore.CoordinationPrefix)
		kind, name, isNamed := strings.Cut(item, "/")
		if !isItem || !isNamed {
			continue
		}
		summaries = append(summaries, coordination.ItemSummary{
			Kind:  coordination.Kind(kind),
			Name:  name,
			Owner: register.Promised.Proposer,
			Bytes: len(register.Value),
		})
	}
	return summaries
}
