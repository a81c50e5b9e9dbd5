package dataplane

import (
	"sync/atomic"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

const (
	// clockDriftDivisor bounds clock drift: rates of clocks differ by less than 1/50.
	clockDriftDivisor = 50
	// confirmationDelaySlack is the additional delay of a confirmed response that is tolerated under normal conditions.
	confirmationDelaySlack = 200 * time.Millisecond
	// pollsPerKeyWindow is the minimum number of polls per key window, so that a lost response does not make keys invalid.
	pollsPerKeyWindow = 4
)

// freshness tracks until when the configuration in use is known to be the latest. The goroutine of FleetState.Run observes
// responses; any goroutine may call the other methods, since all fields that change are atomic. Times are monotonic.
type freshness struct {
	// confirmedAt is the last time when a majority confirmed that no newer configuration than the one in use was in force.
	confirmedAt atomic.Pointer[time.Time]
	// adopted is the revision in use. newestKnown is the highest revision in any confirmed response.
	adopted     atomic.Int64
	newestKnown atomic.Int64

	// rejectionWindow is how long after a confirmation requests may be rejected for naming something unknown to this node.
	rejectionWindow time.Duration
	// keyWindow is how long after a confirmation API keys are valid; 0 if keys stay valid without confirmations.
	keyWindow time.Duration
}

func newFreshness(settings nodesettings.Settings) *freshness {
	bounds := settings.TimingBounds
	normalInterval := nodesettings.Milliseconds(settings.HeartbeatMs) + peer.ConfirmationLease + confirmationDelaySlack
	fresh := &freshness{rejectionWindow: max(nodesettings.Milliseconds(bounds.ConfigApplyMs), normalInterval)}
	if bounds.RevocationClosed {
		revoke := nodesettings.Milliseconds(bounds.RevokeMs)
		fresh.keyWindow = max(revoke-revoke/clockDriftDivisor, time.Millisecond)
	}
	return fresh
}

// observe records the response to a poll sent at sentAt, after the configuration of revision adopted was put in use. confirmed
// is whether the response still counted as confirmed by a majority when it was received.
func (f *freshness) observe(response *peer.WatchResponse, sentAt time.Time, adopted int64, confirmed bool) {
	f.adopted.Store(adopted)
	if confirmed && response.Revision > f.newestKnown.Load() {
		f.newestKnown.Store(response.Revision)
	}
	confirmedAt := response.ConfirmedAt(sentAt)
	if adopted == 0 || adopted < response.Revision || confirmedAt.IsZero() {
		return
	}
	if last := f.confirmedAt.Load(); last == nil || confirmedAt.After(*last) {
		f.confirmedAt.Store(&confirmedAt)
	}
}

func (f *freshness) confirmedWithin(window time.Duration, now time.Time) bool {
	confirmedAt := f.confirmedAt.Load()
	return confirmedAt != nil && now.Sub(*confirmedAt) < window
}

// Behind reports whether a newer configuration is known to exist but has not been adopted yet.
func (f *freshness) Behind() bool { return f.newestKnown.Load() > f.adopted.Load() }

// Current reports whether a majority confirmed within the rejection window that the configuration in use is the latest.
func (f *freshness) Current(now time.Time) bool { return f.confirmedWithin(f.rejectionWindow, now) }

// KeysValid reports whether requests with the API keys in use may be served: always if the settings allow it without contact to
// the control plane, otherwise within the key window.
func (f *freshness) KeysValid(now time.Time) bool {
	return f.keyWindow == 0 || f.confirmedWithin(f.keyWindow, now)
}

// limitHold limits the time in milliseconds for which a poll may be held, so that confirmations arrive often enough to keep keys
// valid.
func (f *freshness) limitHold(planned int64) int64 {
	if f.keyWindow == 0 {
		return planned
	}
	return max(min(planned, (f.keyWindow/pollsPerKeyWindow).Milliseconds()), 1)
}
