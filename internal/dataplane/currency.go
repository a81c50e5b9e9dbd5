package dataplane

import (
	"sync/atomic"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

// currency is what confirmed news proves of the age of the configuration held here. FleetState notes news, any
// goroutine may ask; only the steady clock is used.
type currency struct {
	// provenAt is when a majority confirmed, at the latest, that no configuration newer than the held one is in force.
	provenAt atomic.Pointer[time.Time]
	held     atomic.Int64 // revision
	newest   atomic.Int64 // revision told of by any control daemon with confirmed state

	refusalBound time.Duration
	// keyBound is 0 where keys are served however old they are.
	keyBound time.Duration
}

const (
	// driftDivisor: clocks differ by less than a fiftieth.
	driftDivisor = 50
	// proofSlack is how much longer than planned news may be on its way in calm times.
	proofSlack = 200 * time.Millisecond
	// proofsPerBound is how many polls fit into the bound on keys, so that one that is lost does no harm.
	proofsPerBound = 4
)

func newCurrency(settings nodesettings.Settings) *currency {
	bounds := settings.TimingBounds
	calm := nodesettings.Milliseconds(settings.HeartbeatMs) + peer.ConfirmationLease + proofSlack
	current := &currency{refusalBound: max(nodesettings.Milliseconds(bounds.ConfigApplyMs), calm)}
	if bounds.RevocationClosed {
		revoke := nodesettings.Milliseconds(bounds.RevokeMs)
		current.keyBound = max(revoke-revoke/driftDivisor, time.Millisecond)
	}
	return current
}

// note takes in news that answers a poll of the time asked, once the configuration of the held revision is in use.
func (c *currency) note(news peer.News, asked time.Time, held int64, fresh bool) {
	c.held.Store(held)
	if fresh && news.Revision > c.newest.Load() {
		c.newest.Store(news.Revision)
	}
	confirmed := news.ConfirmedAt(asked)
	if held == 0 || held < news.Revision || confirmed.IsZero() {
		return
	}
	if known := c.provenAt.Load(); known == nil || confirmed.After(*known) {
		c.provenAt.Store(&confirmed)
	}
}

func (c *currency) provenWithin(bound time.Duration, now time.Time) bool {
	proven := c.provenAt.Load()
	return proven != nil && now.Sub(*proven) < bound
}

// Behind tells whether a newer configuration is known of that has not been adopted yet.
func (c *currency) Behind() bool { return c.newest.Load() > c.held.Load() }

// Current tells whether a configuration newer than the held one can't have been in force for long.
func (c *currency) Current(now time.Time) bool { return c.provenWithin(c.refusalBound, now) }

// KeysHold tells whether the held keys may be served: always where the settings let machines out of touch serve them,
// else while they are proven to be new.
func (c *currency) KeysHold(now time.Time) bool {
	return c.keyBound == 0 || c.provenWithin(c.keyBound, now)
}

// hold bounds how long a poll may be held, so that proofs come often enough for keys to be served.
func (c *currency) hold(planned int64) int64 {
	if c.keyBound == 0 {
		return planned
	}
	return max(min(planned, (c.keyBound/proofsPerBound).Milliseconds()), 1)
}
