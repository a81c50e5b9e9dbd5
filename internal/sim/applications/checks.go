package applications

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ferryspar/internal/coordinationclient"
)

const (
	// watchTimeout is how long after the end of the calls a watch may take to deliver the last put.
	watchTimeout = 5 * time.Second
	// watchCheckInterval is how often the events delivered are checked.
	watchCheckInterval = 50 * time.Millisecond
	// maxViolations is the maximum number of violations kept.
	maxViolations = 20
)

// checks records the responses to the calls and the violations of the guarantees of the API.
type checks struct {
	lock     sync.Mutex
	holders  map[string]*coordinationclient.Lock
	fences   map[string]uint64
	counters map[string]uint64
	puts     map[string]uint64
	// watched holds the revision of each value delivered, by watch; lastRevision holds the last revision delivered, by watch.
	watched      map[int]map[string]uint64
	lastRevision map[int]uint64
	violations   []string
}

func newChecks() *checks {
	return &checks{
		holders:      map[string]*coordinationclient.Lock{},
		fences:       map[string]uint64{},
		counters:     map[string]uint64{},
		puts:         map[string]uint64{},
		watched:      map[int]map[string]uint64{},
		lastRevision: map[int]uint64{},
	}
}

// addViolation records a violation. The caller must hold c.lock.
func (c *checks) addViolation(format string, arguments ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
	}
}

// acquired records that a lock was acquired.
func (c *checks) acquired(lock string, hold *coordinationclient.Lock) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if other := c.holders[lock]; other != nil && time.Now().Before(other.ExpiresAt()) {
		c.addViolation("%s acquired with fence %d while it is held with fence %d", lock, hold.Fence(), other.Fence())
	}
	if hold.Fence() <= c.fences[lock] {
		c.addViolation("%s acquired with fence %d after fence %d", lock, hold.Fence(), c.fences[lock])
	}
	c.holders[lock], c.fences[lock] = hold, max(hold.Fence(), c.fences[lock])
}

// releasing records that a lock is about to be released. If it has expired meanwhile, another caller may already hold it.
func (c *checks) releasing(lock string, hold *coordinationclient.Lock) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.holders[lock] == hold {
		delete(c.holders, lock)
	}
}

// highest returns the highest value received from a counter so far.
func (c *checks) highest(counter string) uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.counters[counter]
}

// received records a value received from a counter. floor is the highest value received before the call.
func (c *checks) received(counter string, floor, value uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if value <= floor {
		c.addViolation("%s returned %d after %d", counter, value, floor)
	}
	c.counters[counter] = max(c.counters[counter], value)
}

// put records an acknowledged put.
func (c *checks) put(value string, revision uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.puts[value] = revision
}

// delivered records an event delivered by a watch.
func (c *checks) delivered(watch int, event coordinationclient.Event) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if event.Revision <= c.lastRevision[watch] {
		c.addViolation("watch %d delivered revision %d after %d", watch, event.Revision, c.lastRevision[watch])
	}
	if c.watched[watch] == nil {
		c.watched[watch] = map[string]uint64{}
	}
	c.lastRevision[watch], c.watched[watch][event.Value] = event.Revision, event.Revision
}

// awaitWatches waits until each watch has delivered each acknowledged put. Puts not delivered in time are recorded as
// violations.
func (c *checks) awaitWatches(ctx context.Context, watches int) {
	deadline := time.Now().Add(watchTimeout)
	for {
		missing := c.missing(watches)
		if len(missing) == 0 {
			return
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			c.lock.Lock()
			defer c.lock.Unlock()
			for _, text := range missing {
				c.addViolation("%s", text)
			}
			return
		}
		time.Sleep(watchCheckInterval)
	}
}

// missing describes the acknowledged puts that a watch has not delivered with their revision.
func (c *checks) missing(watches int) []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	var missing []string
	for watch := range watches {
		for value, revision := range c.puts {
			if c.watched[watch][value] != revision {
				missing = append(missing, fmt.Sprintf("watch %d has not delivered %s at revision %d", watch, value, revision))
			}
		}
	}
	return missing
}
