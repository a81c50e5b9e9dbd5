package coordinator

import (
	"strings"
	"sync"
	"time"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
)

const (
	// MaxItems is how many locks, counters and groups there may be.
	MaxItems = 20000
	// countInterval is how often the items are counted.
	countInterval = time.Second
)

// Capacity bounds how many items there are and how much room they take on the members' disks. Items are never deleted: a lock that
// began anew would give out its fences a second time. It is safe for concurrent use.
type Capacity struct {
	// registers returns what this node's member has on its disk.
	registers func() map[string]keystore.Register
	maxBytes  int
	clock     func() time.Time

	lock      sync.Mutex
	countedAt time.Time
	items     int
	bytes     int
}

// NewCapacity returns a capacity of maxBytes for the values of all items together.
func NewCapacity(registers func() map[string]keystore.Register, maxBytes int, clock func() time.Time) *Capacity {
	return &Capacity{registers: registers, maxBytes: maxBytes, clock: clock}
}

// Admits says whether the item of a call exists or there is room for it. Any call on an unknown name makes it an item: its owner must
// be promised to somebody before the call can be answered.
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

// count counts the items. The caller holds the lock.
func (c *Capacity) count(registers map[string]keystore.Register) {
	c.items, c.bytes = 0, 0
	for key, register := range registers {
		if strings.HasPrefix(key, keystore.CoordinationPrefix) {
			c.items++
			c.bytes += len(key) + len(register.Value)
		}
	}
}

// ItemSummaries lists the items among registers, in no order.
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
