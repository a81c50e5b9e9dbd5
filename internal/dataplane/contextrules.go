package dataplane

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// contactTimeout is how long after the last confirmed response a data plane with context rules no longer trusts what it
// knows of cached prefixes, and a drill ends.
const contactTimeout = 2500 * time.Millisecond

// contextRules are the operators' rules for cached context: how long it may be used and what is to be forgotten.
type contextRules struct {
	clock func() time.Time
	// updateLedger has a change made by the goroutine that owns the prefix ledger; nil where there is no ledger.
	updateLedger func(change func(*routing.PrefixLedger))

	// version and lastForget are those of the newest rules and forget order seen. They belong to the goroutine of
	// FleetState.Run.
	version    uint64
	lastForget uint64

	// inForce says that there are rules, and lastConfirmed is when the last confirmed response came. Any goroutine may
	// load them.
	inForce       atomic.Bool
	lastConfirmed atomic.Pointer[time.Time]
}

// trusted reports whether cached context may be used: always without rules, otherwise only with a confirmed response lately,
// since an order to forget may have been given that has not arrived here. Any goroutine may call it.
func (c *contextRules) trusted(now time.Time) bool {
	if !c.inForce.Load() {
		return true
	}
	confirmed := c.lastConfirmed.Load()
	return confirmed != nil && now.Sub(*confirmed) < contactTimeout
}

// confirm records when a confirmed response came. Any goroutine may call it.
func (c *contextRules) confirm(receivedAt time.Time) { c.lastConfirmed.Store(&receivedAt) }

// adopt adopts rules newer than those in force, and has the ledger forget what they name. The position acknowledges them
// only once the ledger has done so: operators learn from that that it is forgotten.
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
	c.inForce.Store(true)
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

// applyRules has the ledger forget by the orders newer than previous, sets how long context may be used, and returns how
// many entries were dropped.
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
