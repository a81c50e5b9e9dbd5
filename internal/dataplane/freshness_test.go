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
		adopted, told  int64
		freshMs        int64
		proves, behind bool
	}{
		{7, 7, 1000, true, false}, {8, 7, 1000, true, false}, {7, 8, 1000, false, true},
		{0, 0, 1000, false, false}, {7, 7, 0, false, false}, {7, 8, 0, false, false},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			fresh := newFreshness(closedSettings(testRevoke))
			assert.Assert(t, !fresh.KeysValid(start) && !fresh.Current(start), "nothing is proven yet")
			response := peer.WatchResponse{Revision: test.told, FreshMs: test.freshMs, WaitedMs: 500}
			fresh.observe(&response, start, test.adopted, response.IsFresh(start, start))
			assert.Equal(t, fresh.KeysValid(start), test.proves)
			assert.Equal(t, fresh.Behind(), test.behind)
		})
	}
}

func TestFreshness_KeysValidUntilConfirmationExpires(t *testing.T) {
	start := time.Now()
	fresh := newFreshness(closedSettings(testRevoke))
	fresh.observe(&peer.WatchResponse{Revision: 7, FreshMs: 700, WaitedMs: 1000}, start, 7, true)
	confirmed := start.Add(600 * time.Millisecond)
	fresh.observe(&peer.WatchResponse{Revision: 7, FreshMs: 100, WaitedMs: 0}, start, 7, true)
	assert.Assert(t, fresh.KeysValid(confirmed.Add(4899*time.Millisecond)), "an older proof takes nothing away")
	assert.Assert(t, !fresh.KeysValid(confirmed.Add(4900*time.Millisecond)), "less the drift of clocks")
	assert.Assert(t, fresh.Current(confirmed.Add(2499*time.Millisecond)) && !fresh.Current(confirmed.Add(2500*time.Millisecond)))
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

func (a acknowledgements) versionAt(when time.Time) int64 {
	for version := len(a); version > 0; version-- {
		if !a[version-1].After(when) {
			return int64(version)
		}
	}
	return 0
}

// freshnessTrial draws the times of one trial: what happens, by a clock that is right, and what this node's clock shows, which
// is off by up to one in a hundred.
type freshnessTrial struct {
	draw  *rand.Rand
	start time.Time
	drift float64
}

func newFreshnessTrial(seed uint64) *freshnessTrial {
	draw := rand.New(rand.NewPCG(seed, 1))
	return &freshnessTrial{draw: draw, start: time.Now(), drift: 0.99 + 0.02*draw.Float64()}
}

// span draws a time below the limit.
func (f *freshnessTrial) span(limit time.Duration) time.Duration {
	return time.Duration(f.draw.Int64N(int64(limit)))
}

// local is what this node's clock shows at a time.
func (f *freshnessTrial) local(when time.Time) time.Time {
	return f.start.Add(time.Duration(f.drift * float64(when.Sub(f.start))))
}

// acknowledge draws when six versions are acknowledged.
func (f *freshnessTrial) acknowledge() acknowledgements {
	times := acknowledgements{f.start}
	for last := f.start; len(times) < 6; times = append(times, last) {
		last = last.Add(f.span(6 * time.Second))
	}
	return times
}

// poll draws the response to a poll sent at that time, and when it has come.
func (f *freshnessTrial) poll(acknowledgedAt acknowledgements, sentAt time.Time) (response peer.WatchResponse, receivedAt time.Time) {
	arrivedAt := sentAt.Add(f.span(time.Second))
	answeredAt := arrivedAt.Add(f.span(2 * time.Second))
	confirmedAt := answeredAt.Add(-f.span(1200 * time.Millisecond))
	receivedAt = answeredAt.Add(f.span(3 * time.Second))
	return peer.WatchResponse{
		Revision: acknowledgedAt.versionAt(confirmedAt),
		WaitedMs: answeredAt.Sub(arrivedAt).Milliseconds(),
		FreshMs:  max(peer.ConfirmationLease-answeredAt.Sub(confirmedAt), 0).Milliseconds(),
	}, receivedAt
}

// TestFreshness_NeverServesRevokedKeyTooLong draws acknowledgements, confirmations, polls that are late or lost,
// configurations that arrive or don't, and a clock that drifts.
func TestFreshness_NeverServesRevokedKeyTooLong(t *testing.T) {
	for seed := range uint64(3000) {
		trial := newFreshnessTrial(seed)
		acknowledgedAt := trial.acknowledge()
		fresh, adopted := newFreshness(closedSettings(testRevoke)), int64(0)
		for now := trial.start; now.Sub(trial.start) < 40*time.Second; {
			sentAt := now
			var response peer.WatchResponse
			response, now = trial.poll(acknowledgedAt, sentAt)
			if trial.draw.IntN(3) > 0 {
				adopted = max(adopted, response.Revision)
			}
			if trial.draw.IntN(4) > 0 {
				confirmed := response.IsFresh(trial.local(sentAt), trial.local(now))
				fresh.observe(&response, trial.local(sentAt), adopted, confirmed)
			}
			for range 20 {
				later := now.Add(trial.span(8 * time.Second))
				if adopted < int64(len(acknowledgedAt)) && fresh.KeysValid(trial.local(later)) {
					assert.Assert(t, later.Sub(acknowledgedAt[adopted]) <= testRevoke, "seed %d", seed)
				}
			}
		}
	}
}
