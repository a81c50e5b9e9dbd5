package dataplane

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

const testRevoke = 5 * time.Second

func closedSettings(revoke time.Duration) nodesettings.Settings {
	settings := nodesettings.Settings{HeartbeatMs: 1200}
	settings.TimingBounds.ConfigApplyMs = 2500
	settings.TimingBounds.RevocationClosed, settings.TimingBounds.RevokeMs = true, float64(revoke.Milliseconds())
	return settings
}

func TestFreshness_ProvenOnlyByResponseNotNewerThanAdopted(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		held, told     int64
		freshMs        int64
		proves, behind bool
	}{
		{7, 7, 1000, true, false}, {8, 7, 1000, true, false}, {7, 8, 1000, false, true},
		{0, 0, 1000, false, false}, {7, 7, 0, false, false}, {7, 8, 0, false, false},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			current := newFreshness(closedSettings(testRevoke))
			assert.Assert(t, !current.KeysValid(start) && !current.Current(start), "nothing is proven yet")
			response := peer.WatchResponse{Revision: test.told, FreshMs: test.freshMs, WaitedMs: 500}
			current.observe(response, start, test.held, response.IsFresh(start, start))
			assert.Equal(t, current.KeysValid(start), test.proves)
			assert.Equal(t, current.Behind(), test.behind)
		})
	}
}

func TestFreshness_KeysValidUntilConfirmationExpires(t *testing.T) {
	start := time.Now()
	current := newFreshness(closedSettings(testRevoke))
	current.observe(peer.WatchResponse{Revision: 7, FreshMs: 700, WaitedMs: 1000}, start, 7, true)
	confirmed := start.Add(600 * time.Millisecond)
	current.observe(peer.WatchResponse{Revision: 7, FreshMs: 100, WaitedMs: 0}, start, 7, true)
	assert.Assert(t, current.KeysValid(confirmed.Add(4899*time.Millisecond)), "an older proof takes nothing away")
	assert.Assert(t, !current.KeysValid(confirmed.Add(4900*time.Millisecond)), "less the drift of clocks")
	assert.Assert(t, current.Current(confirmed.Add(2499*time.Millisecond)) && !current.Current(confirmed.Add(2500*time.Millisecond)))
}

func TestFreshness_LimitsHoldOnlyWhereKeysMustBeProven(t *testing.T) {
	open := closedSettings(testRevoke)
	open.TimingBounds.RevocationClosed = false
	assert.Equal(t, newFreshness(open).limitHold(1200), int64(1200))
	assert.Assert(t, newFreshness(open).KeysValid(time.Now()))
	assert.Equal(t, newFreshness(closedSettings(testRevoke)).limitHold(1200), int64(1200))
	assert.Equal(t, newFreshness(closedSettings(2*time.Second)).limitHold(1200), int64(490))
}

// acknowledgements is when versions of the configuration were acknowledged; version number n is the n-th, from 1 on.
type acknowledgements []time.Time

func (h acknowledgements) versionAt(when time.Time) int64 {
	for version := len(h); version > 0; version-- {
		if !h[version-1].After(when) {
			return int64(version)
		}
	}
	return 0
}

// TestFreshness_NeverServesRevokedKeyTooLong draws acknowledgements, confirmations, polls that are late
// or lost, configurations that arrive or don't, and a clock that is off by up to one in a hundred.
func TestFreshness_NeverServesRevokedKeyTooLong(t *testing.T) {
	for seed := range uint64(3000) {
		draw := rand.New(rand.NewPCG(seed, 1))
		span := func(most time.Duration) time.Duration { return time.Duration(draw.Int64N(int64(most))) }
		start := time.Now()
		drift := 0.99 + 0.02*draw.Float64()
		local := func(when time.Time) time.Time { return start.Add(time.Duration(drift * float64(when.Sub(start)))) }
		acknowledgedAt := acknowledgements{start}
		for last := start; len(acknowledgedAt) < 6; acknowledgedAt = append(acknowledgedAt, last) {
			last = last.Add(span(6 * time.Second))
		}
		current, adopted := newFreshness(closedSettings(testRevoke)), int64(0)
		for now := start; now.Sub(start) < 40*time.Second; {
			sentAt := now
			receivedAt := sentAt.Add(span(time.Second))
			answeredAt := receivedAt.Add(span(2 * time.Second))
			confirmedAt := answeredAt.Add(-span(1200 * time.Millisecond))
			now = answeredAt.Add(span(3 * time.Second))
			response := peer.WatchResponse{
				Revision: acknowledgedAt.versionAt(confirmedAt), WaitedMs: answeredAt.Sub(receivedAt).Milliseconds(),
				FreshMs: max(peer.ConfirmationLease-answeredAt.Sub(confirmedAt), 0).Milliseconds(),
			}
			if draw.IntN(3) > 0 {
				adopted = max(adopted, response.Revision)
			}
			if draw.IntN(4) > 0 {
				current.observe(response, local(sentAt), adopted, response.IsFresh(local(sentAt), local(now)))
			}
			for range 20 {
				later := now.Add(span(8 * time.Second))
				if adopted < int64(len(acknowledgedAt)) && current.KeysValid(local(later)) {
					assert.Assert(t, later.Sub(acknowledgedAt[adopted]) <= testRevoke, "seed %d", seed)
				}
			}
		}
	}
}
