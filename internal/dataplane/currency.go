package dataplane

import (
	"sync/atomic"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

// freshness is what confirmed news proves of the age of the configuration held here. FleetState notes news, any
// goroutine may ask; only the steady clock is used.
type freshness struct {
	// provenAt is when a majority confirmed, at the latest, that no configuration newer than the held one is in force.
	provenAt    atomic.Pointer[time.Time]
	adopted     atomic.Int64 // revision
	newestKnown atomic.Int64 // revision told of by any control daemon with confirmed state

	rejectionWindow time.Duration
	// keyWindow is 0 where keys are served however old they are.
	keyWindow time.Duration
}

const (
	// driftDivisor: clocks differ by less than a fiftieth.
	driftDivisor = 50
	// proofDelaySlack is how much longer than planned news may be on its way in calm times.
	proofDelaySlack = 200 * time.Millisecond
	// proofsPerKeyWindow is how many polls fit into the bound on keys, so that one that is lost does no harm.
	proofsPerKeyWindow = 4
)

func newFreshness(settings nodesettings.Settings) *freshness {
	bounds := settings.TimingBounds
	calm := nodesettings.Milliseconds(settings.HeartbeatMs) + peer.ConfirmationLease + proofDelaySlack
	current := &freshness{rejectionWindow: max(nodesettings.Milliseconds(bounds.ConfigApplyMs), calm)}
	if bounds.RevocationClosed {
		revoke := nodesettings.Milliseconds(bounds.RevokeMs)
		current.keyWindow = max(revoke-revoke/driftDivisor, time.Millisecond)
	}
	return current
}

// note takes in news that answers a poll of the time asked, once the configuration of the held revision is in use.
func (f *freshness) observe(response peer.WatchResponse, sentAt time.Time, adopted int64, fresh bool) {
	f.adopted.Store(adopted)
	if fresh && response.Revision > f.newestKnown.Load() {
		f.newestKnown.Store(response.Revision)
	}
	confirmed := response.ConfirmedAt(sentAt)
	if adopted == 0 || adopted < response.Revision || confirmed.IsZero() {
		return
	}
	if known := f.provenAt.Load(); known == nil || confirmed.After(*known) {
		f.provenAt.Store(&confirmed)
	}
}

func (f *freshness) provenWithin(window time.Duration, now time.Time) bool {
	proven := f.provenAt.Load()
	return proven != nil && now.Sub(*proven) < window
}

// Behind tells whether a newer configuration is known of that has not been adopted yet.
func (f *freshness) Behind() bool { return f.newestKnown.Load() > f.adopted.Load() }

// Current tells whether a configuration newer than the held one can't have been in force for long.
func (f *freshness) Current(now time.Time) bool { return f.provenWithin(f.rejectionWindow, now) }

// KeysHold tells whether the held keys may be served: always where the settings let machines out of touch serve them,
// else while they are proven to be new.
func (f *freshness) KeysValid(now time.Time) bool {
	return f.keyWindow == 0 || f.provenWithin(f.keyWindow, now)
}

// hold bounds how long a poll may be held, so that proofs come often enough for keys to be served.
func (f *freshness) limitHold(planned int64) int64 {
	if f.keyWindow == 0 {
		return planned
	}
	return max(min(planned, (f.keyWindow/proofsPerKeyWindow).Milliseconds()), 1)
}
