package dataplane

import (
	"sync/atomic"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

const (
	// driftDivisor: clocks differ by less than a fiftieth.
	driftDivisor = 50
	// proofDelaySlack is how much longer than planned a response may be on its way in calm times.
	proofDelaySlack = 200 * time.Millisecond
	// proofsPerKeyWindow is how many polls fit into the key window, so that one that is lost does no harm.
	proofsPerKeyWindow = 4
)

// freshness is what confirmed responses prove of the age of the configuration in use. The goroutine of FleetState.Run
// observes responses, any goroutine may ask: the fields that change are atomics. Only the monotonic clock is used.
type freshness struct {
	// provenAt is when a majority confirmed, at the latest, that no configuration newer than the one in use is in force.
	provenAt atomic.Pointer[time.Time]
	// adopted is the revision in use, and newestKnown the newest that any control-plane node with confirmed state has reported.
	adopted     atomic.Int64
	newestKnown atomic.Int64

	// rejectionWindow is how long after a proof what is unknown here may be rejected for good.
	rejectionWindow time.Duration
	// keyWindow is how long after a proof keys are valid; 0 where they are valid however old they are.
	keyWindow time.Duration
}

func newFreshness(settings nodesettings.Settings) *freshness {
	bounds := settings.TimingBounds
	calm := nodesettings.Milliseconds(settings.HeartbeatMs) + peer.ConfirmationLease + proofDelaySlack
	fresh := &freshness{rejectionWindow: max(nodesettings.Milliseconds(bounds.ConfigApplyMs), calm)}
	if bounds.RevocationClosed {
		revoke := nodesettings.Milliseconds(bounds.RevokeMs)
		fresh.keyWindow = max(revoke-revoke/driftDivisor, time.Millisecond)
	}
	return fresh
}

// observe takes in the response to a poll sent at that time, once the configuration of the adopted revision is in use;
// confirmed says whether the response still counts as confirmed by a majority.
func (f *freshness) observe(response *peer.WatchResponse, sentAt time.Time, adopted int64, confirmed bool) {
	f.adopted.Store(adopted)
	if confirmed && response.Revision > f.newestKnown.Load() {
		f.newestKnown.Store(response.Revision)
	}
	confirmedAt := response.ConfirmedAt(sentAt)
	if adopted == 0 || adopted < response.Revision || confirmedAt.IsZero() {
		return
	}
	if proven := f.provenAt.Load(); proven == nil || confirmedAt.After(*proven) {
		f.provenAt.Store(&confirmedAt)
	}
}

func (f *freshness) provenWithin(window time.Duration, now time.Time) bool {
	proven := f.provenAt.Load()
	return proven != nil && now.Sub(*proven) < window
}

// Behind reports whether a newer configuration is known of that has not been adopted yet.
func (f *freshness) Behind() bool { return f.newestKnown.Load() > f.adopted.Load() }

// Current reports whether a configuration newer than the one in use can't have been in force for long.
func (f *freshness) Current(now time.Time) bool { return f.provenWithin(f.rejectionWindow, now) }

// KeysValid reports whether the keys in use may be served: always where the settings let nodes out of touch serve them, else
// while they are proven to be new.
func (f *freshness) KeysValid(now time.Time) bool {
	return f.keyWindow == 0 || f.provenWithin(f.keyWindow, now)
}

// limitHold limits how many milliseconds a poll may be held, so that proofs come often enough for keys to be valid.
func (f *freshness) limitHold(planned int64) int64 {
	if f.keyWindow == 0 {
		return planned
	}
	return max(min(planned, (f.keyWindow/proofsPerKeyWindow).Milliseconds()), 1)
}
