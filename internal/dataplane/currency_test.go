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

func TestGivenNewsThenItProvesTheHeldConfigurationOnlyWhereThatIsNotOlder(t *testing.T) {
	began := time.Now()
	for _, one := range []struct {
		held, told     int64
		freshMs        int64
		proves, behind bool
	}{
		{7, 7, 1000, true, false}, {8, 7, 1000, true, false}, {7, 8, 1000, false, true},
		{0, 0, 1000, false, false}, {7, 7, 0, false, false}, {7, 8, 0, false, false},
	} {
		t.Run(fmt.Sprint(one), func(t *testing.T) {
			current := newCurrency(closedSettings(testRevoke))
			assert.Assert(t, !current.KeysHold(began) && !current.Current(began), "nothing is proven yet")
			news := peer.News{Revision: one.told, FreshMs: one.freshMs, HeldMs: 500}
			current.note(news, began, one.held, news.Fresh(began, began))
			assert.Equal(t, current.KeysHold(began), one.proves)
			assert.Equal(t, current.Behind(), one.behind)
		})
	}
}

func TestGivenAProofThenKeysHoldForAsLongAsItsConfirmationAllows(t *testing.T) {
	began := time.Now()
	current := newCurrency(closedSettings(testRevoke))
	current.note(peer.News{Revision: 7, FreshMs: 700, HeldMs: 1000}, began, 7, true)
	confirmed := began.Add(600 * time.Millisecond)
	current.note(peer.News{Revision: 7, FreshMs: 100, HeldMs: 0}, began, 7, true)
	assert.Assert(t, current.KeysHold(confirmed.Add(4899*time.Millisecond)), "an older proof takes nothing away")
	assert.Assert(t, !current.KeysHold(confirmed.Add(4900*time.Millisecond)), "less the drift of clocks")
	assert.Assert(t, current.Current(confirmed.Add(2499*time.Millisecond)) && !current.Current(confirmed.Add(2500*time.Millisecond)))
}

func TestGivenTheSettingsThenPollsAreHeldBrieflyOnlyWhereKeysMustBeProven(t *testing.T) {
	open := closedSettings(testRevoke)
	open.TimingBounds.RevocationClosed = false
	assert.Equal(t, newCurrency(open).hold(1200), int64(1200))
	assert.Assert(t, newCurrency(open).KeysHold(time.Now()))
	assert.Equal(t, newCurrency(closedSettings(testRevoke)).hold(1200), int64(1200))
	assert.Equal(t, newCurrency(closedSettings(2*time.Second)).hold(1200), int64(490))
}

// history is when versions of the configuration were acknowledged; version number n is the n-th, from 1 on.
type history []time.Time

func (h history) at(when time.Time) int64 {
	for version := len(h); version > 0; version-- {
		if !h[version-1].After(when) {
			return int64(version)
		}
	}
	return 0
}

// TestGivenAnyDelaysAndDriftThenNoKeyIsServedLongerThanAllowed draws acknowledgements, confirmations, polls that are late
// or lost, configurations that arrive or don't, and a clock that is off by up to one in a hundred.
func TestGivenAnyDelaysAndDriftThenNoKeyIsServedLongerThanAllowed(t *testing.T) {
	for seed := range uint64(3000) {
		draw := rand.New(rand.NewPCG(seed, 1))
		span := func(most time.Duration) time.Duration { return time.Duration(draw.Int64N(int64(most))) }
		began := time.Now()
		drift := 0.99 + 0.02*draw.Float64()
		local := func(when time.Time) time.Time { return began.Add(time.Duration(drift * float64(when.Sub(began)))) }
		acknowledged := history{began}
		for last := began; len(acknowledged) < 6; acknowledged = append(acknowledged, last) {
			last = last.Add(span(6 * time.Second))
		}
		current, held := newCurrency(closedSettings(testRevoke)), int64(0)
		for now := began; now.Sub(began) < 40*time.Second; {
			asked := now
			came := asked.Add(span(time.Second))
			answered := came.Add(span(2 * time.Second))
			confirmed := answered.Add(-span(1200 * time.Millisecond))
			now = answered.Add(span(3 * time.Second))
			news := peer.News{
				Revision: acknowledged.at(confirmed), HeldMs: answered.Sub(came).Milliseconds(),
				FreshMs: max(peer.ConfirmationLease-answered.Sub(confirmed), 0).Milliseconds(),
			}
			if draw.IntN(3) > 0 {
				held = max(held, news.Revision)
			}
			if draw.IntN(4) > 0 {
				current.note(news, local(asked), held, news.Fresh(local(asked), local(now)))
			}
			for range 20 {
				later := now.Add(span(8 * time.Second))
				if held < int64(len(acknowledged)) && current.KeysHold(local(later)) {
					assert.Assert(t, later.Sub(acknowledged[held]) <= testRevoke, "seed %d", seed)
				}
			}
		}
	}
}
