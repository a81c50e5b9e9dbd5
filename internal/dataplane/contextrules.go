package dataplane

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// contactTimeout is how long after the last confirmed response a drill ends, and a data plane with context rules stops using its
// knowledge of cached prefixes.
const contactTimeout = 2500 * time.Millisecond

// contextRules holds the operators' rules for cached context: its maximum age and the orders to forget parts of it.
type contextRules struct {
	clock func() time.Time
	// updateLedger runs a change on the goroutine that owns the prefix ledger; nil if there is no ledger.
	updateLedger func(change func(*routing.PrefixLedger))

	// version is that of the newest rules, lastForget the number of the newest forget order. Only the goroutine of
	// FleetState.Run uses them.
	version    uint64
	lastForget uint64

	// active is set once there are rules. lastConfirmed is when the last confirmed response was received. Any goroutine may
	// load them.
	active        atomic.Bool
	lastConfirmed atomic.Pointer[time.Time]
}

// trusted reports whether cached context may be used. Without rules it always may; with rules only within contactTimeout of a
// confirmed response, because a forget order may have been issued that this node has not received. Any goroutine may call it.
func (c *contextRules) trusted(now time.Time) bool {
	if !c.active.Load() {
		return true
	}
	confirmed := c.lastConfirmed.Load()
	return confirmed != nil && now.Sub(*confirmed) < contactTimeout
}

// confirm records the time of a confirmed response. Any goroutine may call it.
func (c *contextRules) confirm(receivedAt time.Time) { c.lastConfirmed.Store(&receivedAt) }

// adopt adopts rules that are newer than the current ones and applies them to the ledger. The position acknowledges the rules
// only after the ledger has applied them, since operators rely on the acknowledgement as proof that the context is forgotten.
func (c *contextRules) adopt(rules peer.ContextUpdate, position *watchPosition) {
	if rules.Version <= c.version || c.updateLedger == nil {
		return
	}
	c.version = rules.Version
	previous := c.lastForget
	for _, forget := range rules.Purges {
		c.lastForget = max(c.lastForget, forget.Number)
	}
	last := c.lastForget
	c.active.Store(true)
	c.updateLedger(func(ledger *routing.PrefixLedger) {
		dropped := applyRules(ledger, rules, previous, c.clock())
		position.contextVersion.Store(rules.Version)
		position.appliedForget.Store(last)
		logrus.WithFields(logrus.Fields{
			"number":     last,
			"dropped":    dropped,
			"max_age_ms": rules.MaxAgeMs,
			"remaining":  ledger.Len(),
		}).Info("cached context forgotten")
	})
}

// applyRules applies the forget orders newer than previous and the maximum age of context to the ledger. It returns the number of
// entries that the forget orders dropped.
func applyRules(ledger *routing.PrefixLedger, rules peer.ContextUpdate, previous uint64, now time.Time) int {
	dropped := 0
	for _, forget := range rules.Purges {
		if forget.Number > previous {
			dropped += ledger.Forget(forget.Scope.Covers, now)
		}
	}
	ledger.SetTTL(time.Duration(rules.MaxAgeMs)*time.Millisecond, now)
	return dropped
}
