package applications

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ferryspar/internal/coordinationclient"
)

const (
	// watchLimit is how long after the last put watches may take to show it.
	watchLimit = 5 * time.Second
	// watchCheckInterval is how often that is looked at.
	watchCheckInterval = 50 * time.Millisecond
	// maxFaults is how many faults are kept.
	maxFaults = 20
)

// checks note what the answers promised, and what broke that.
type checks struct {
	lock    sync.Mutex
	holders map[string]*coordinationclient.Lock
	fences  map[string]uint64
	numbers map[string]uint64
	puts    map[string]uint64
	// watched holds the revision of each value that a watch has seen, by watch.
	watched map[int]map[string]uint64
	lastOf  map[int]uint64
	faults  []string
}

func newChecks() *checks {
	return &checks{
		holders: map[string]*coordinationclient.Lock{},
		fences:  map[string]uint64{},
		numbers: map[string]uint64{},
		puts:    map[string]uint64{},
		watched: map[int]map[string]uint64{},
		lastOf:  map[int]uint64{},
	}
}

// fault notes a broken promise. The caller holds the lock.
func (c *checks) fault(format string, arguments ...any) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, fmt.Sprintf(format, arguments...))
	}
}

// acquired notes that a lock was taken.
func (c *checks) acquired(lock string, hold *coordinationclient.Lock) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if other := c.holders[lock]; other != nil && time.Now().Before(other.ExpiresAt()) {
		c.fault("%s taken with fence %d while it is held with %d", lock, hold.Fence(), other.Fence())
	}
	if hold.Fence() <= c.fences[lock] {
		c.fault("%s taken with fence %d after %d", lock, hold.Fence(), c.fences[lock])
	}
	c.holders[lock], c.fences[lock] = hold, max(hold.Fence(), c.fences[lock])
}

// releasing notes that a hold ends now. One that has ended by itself may have been followed by another.
func (c *checks) releasing(lock string, hold *coordinationclient.Lock) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.holders[lock] == hold {
		delete(c.holders, lock)
	}
}

// highest is the highest number that was drawn from a counter so far.
func (c *checks) highest(counter string) uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.numbers[counter]
}

// drawn notes a number that was asked for when floor was the highest.
func (c *checks) drawn(counter string, floor, value uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if value <= floor {
		c.fault("%s gave %d after %d", counter, value, floor)
	}
	c.numbers[counter] = max(c.numbers[counter], value)
}

// put notes an acknowledged put.
func (c *checks) put(value string, revision uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.puts[value] = revision
}

// seen notes an event of a watch.
func (c *checks) seen(watch int, event coordinationclient.Event) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if event.Revision <= c.lastOf[watch] {
		c.fault("watch %d saw revision %d after %d", watch, event.Revision, c.lastOf[watch])
	}
	if c.watched[watch] == nil {
		c.watched[watch] = map[string]uint64{}
	}
	c.lastOf[watch], c.watched[watch][event.Value] = event.Revision, event.Revision
}

// awaitWatches waits until each watch has seen each acknowledged put, and notes those that have not in time.
func (c *checks) awaitWatches(ctx context.Context, watches int) {
	until := time.Now().Add(watchLimit)
	for {
		missing := c.missing(watches)
		if len(missing) == 0 {
			return
		}
		if time.Now().After(until) || ctx.Err() != nil {
			c.lock.Lock()
			defer c.lock.Unlock()
			for _, text := range missing {
				c.fault("%s", text)
			}
			return
		}
		time.Sleep(watchCheckInterval)
	}
}

// missing names the acknowledged puts that a watch has not seen at their revision.
func (c *checks) missing(watches int) []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	var missing []string
	for watch := range watches {
		for value, revision := range c.puts {
			if c.watched[watch][value] != revision {
				missing = append(missing, fmt.Sprintf("watch %d has not seen %s at revision %d", watch, value, revision))
			}
		}
	}
	return missing
}
