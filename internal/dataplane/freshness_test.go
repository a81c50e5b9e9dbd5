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

func failClosedSettings(revoke time.Duration) nodesettings.Settings {
	settings := nodesettings.Settings{HeartbeatMs: 1200}
	settings.TimingBounds.ConfigApplyMs = 2500
	settings.TimingBounds.RevocationClosed, settings.TimingBounds.RevokeMs = true, float64(revoke.Milliseconds())
	return settings
}

func TestFreshness_ConfirmedOnlyByResponseNotNewerThanAdopted(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		adopted, reported int64
		freshMs           int64
		confirms, behind  bool
	}{
		{7, 7, 1000, true, false}, {8, 7, 1000, true, false}, {7, 8, 1000, false, true},
		{0, 0, 1000, false, false}, {7, 7, 0, false, false}, {7, 8, 0, false, false},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			fresh := newFreshness(failClosedSettings(testRevoke))
			assert.Assert(t, !fresh.KeysValid(start) && !fresh.Current(start), "nothing is confirmed yet")
			response := peer.WatchResponse{Revision: test.reported, FreshMs: test.freshMs, WaitedMs: 500}
			fresh.observe(&response, start, test.adopted, response.IsFresh(start, start))
			assert.Equal(t, fresh.KeysValid(start), test.confirms)
			assert.Equal(t, fresh.Behind(), test.behind)
		})
	}
}

func TestFreshness_KeysValidUntilConfirmationExpires(t *testing.T) {
	start := time.Now()
	fresh := newFreshness(failClosedSettings(testRevoke))
	fresh.observe(&peer.WatchResponse{Revision: 7, FreshMs: 700, WaitedMs: 1000}, start, 7, true)
	confirmed := start.Add(600 * time.Millisecond)
	fresh.observe(&peer.WatchResponse{Revision: 7, FreshMs: 100, WaitedMs: 0}, start, 7, true)
	assert.Assert(t, fresh.KeysValid(confirmed.Add(4899*time.Millisecond)), "an older confirmation does not shorten the window")
	assert.Assert(t, !fresh.KeysValid(confirmed.Add(4900*time.Millisecond)), "the window is shortened by the clock drift")
	assert.Assert(t, fresh.Current(confirmed.Add(2499*time.Millisecond)) && !fresh.Current(confirmed.Add(2500*time.Millisecond)))
}

func TestFreshness_LimitsHoldOnlyIfRevocationFailsClosed(t *testing.T) {
	open := failClosedSettings(testRevoke)
	open.TimingBounds.RevocationClosed = false
	assert.Equal(t, newFreshness(open).limitHold(1200), int64(1200))
	assert.Assert(t, newFreshness(open).KeysValid(time.Now()))
	assert.Equal(t, newFreshness(failClosedSettings(testRevoke)).limitHold(1200), int64(1200))
	assert.Equal(t, newFreshness(failClosedSettings(2*time.Second)).limitHold(1200), int64(490))
}

// acknowledgements holds when each version of the configuration was acknowledged; version n is at index n-1.
type acknowledgements []time.Time

// versionAt returns the latest version acknowledged by then, or 0.
func (a acknowledgements) versionAt(when time.Time) int64 {
	for version := len(a); version > 0; version-- {
		if !a[version-1].After(when) {
			return int64(version)
		}
	}
	return 0
}

// freshnessTrial generates the random times of one trial. Events are timed by an accurate clock; the rate of this node's clock
// differs from it by up to 1 %.
type freshnessTrial struct {
	draw  *rand.Rand
	start time.Time
	drift float64
}

func newFreshnessTrial(seed uint64) *freshnessTrial {
	draw := rand.New(rand.NewPCG(seed, 1))
	return &freshnessTrial{draw: draw, start: time.Now(), drift: 0.99 + 0.02*draw.Float64()}
}

// randomDuration returns a random duration below the limit.
func (f *freshnessTrial) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.draw.Int64N(int64(limit)))
}

// localTime returns the reading of this node's clock at the given time.
func (f *freshnessTrial) localTime(when time.Time) time.Time {
	return f.start.Add(time.Duration(f.drift * float64(when.Sub(f.start))))
}

// randomAcknowledgements returns the times when six versions are acknowledged.
func (f *freshnessTrial) randomAcknowledgements() acknowledgements {
	times := acknowledgements{f.start}
	for last := f.start; len(times) < 6; times = append(times, last) {
		last = last.Add(f.randomDuration(6 * time.Second))
	}
	return times
}

// poll returns the response to a poll sent at the given time, and when it is received.
func (f *freshnessTrial) poll(acknowledgedAt acknowledgements, sentAt time.Time) (response peer.WatchResponse, receivedAt time.Time) {
	arrivedAt := sentAt.Add(f.randomDuration(time.Second))
	answeredAt := arrivedAt.Add(f.randomDuration(2 * time.Second))
	confirmedAt := answeredAt.Add(-f.randomDuration(1200 * time.Millisecond))
	receivedAt = answeredAt.Add(f.randomDuration(3 * time.Second))
	return peer.WatchResponse{
		Revision: acknowledgedAt.versionAt(confirmedAt),
		WaitedMs: answeredAt.Sub(arrivedAt).Milliseconds(),
		FreshMs:  max(peer.ConfirmationLease-answeredAt.Sub(confirmedAt), 0).Milliseconds(),
	}, receivedAt
}

// TestFreshness_NeverServesRevokedKeyTooLong runs trials with random times of acknowledgements and confirmations, delayed and lost
// responses, missing configurations and a drifting clock.
func TestFreshness_NeverServesRevokedKeyTooLong(t *testing.T) {
	for seed := range uint64(3000) {
		trial := newFreshnessTrial(seed)
		acknowledgedAt := trial.randomAcknowledgements()
		fresh, adopted := newFreshness(failClosedSettings(testRevoke)), int64(0)
		for now := trial.start; now.Sub(trial.start) < 40*time.Second; {
			sentAt := now
			var response peer.WatchResponse
			response, now = trial.poll(acknowledgedAt, sentAt)
			if trial.draw.IntN(3) > 0 {
				adopted = max(adopted, response.Revision)
			}
			if trial.draw.IntN(4) > 0 {
				confirmed := response.IsFresh(trial.localTime(sentAt), trial.localTime(now))
				fresh.observe(&response, trial.localTime(sentAt), adopted, confirmed)
			}
			for range 20 {
				later := now.Add(trial.randomDuration(8 * time.Second))
				if adopted < int64(len(acknowledgedAt)) && fresh.KeysValid(trial.localTime(later)) {
					assert.Assert(t, later.Sub(acknowledgedAt[adopted]) <= testRevoke, "seed %d", seed)
				}
			}
		}
	}
}
