package wallclock

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noon = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

// observeFor adds a reading of each of five sources every 0.4 s. jump returns how far the clock of a source is off.
func observeFor(e *Estimator, from time.Time, duration time.Duration, jump func(source int) time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(duration)); now = now.Add(400 * time.Millisecond) {
		for source := range 5 {
			e.Observe(fmt.Sprint(source), now.Add(jump(source)), now)
		}
	}
	return now
}

func errorAt(t *testing.T, e *Estimator, now time.Time) time.Duration {
	t.Helper()
	estimate, known := e.Now(now)
	assert.Assert(t, known)
	return estimate.Sub(now).Abs()
}

func TestEstimator_FollowsMajorityOfClocks(t *testing.T) {
	none := func(int) time.Duration { return 0 }
	cases := map[string]struct {
		jump     func(source int) time.Duration
		maxError time.Duration
	}{
		"two of five ahead":  {func(source int) time.Duration { return time.Duration(source/3) * 3 * time.Second }, 0},
		"two of five behind": {func(source int) time.Duration { return -time.Duration(source/3) * 3 * time.Second }, 0},
		"all jump":           {func(int) time.Duration { return 3 * time.Second }, 20 * time.Millisecond},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			e := NewEstimator(noon)
			now := observeFor(e, noon, 4*time.Second, none)
			now = observeFor(e, now, 5*time.Second, testCase.jump)
			assert.Assert(t, errorAt(t, e, now) <= testCase.maxError, "%s", errorAt(t, e, now))
			now = observeFor(e, now, 5*time.Second, none)
			assert.Assert(t, errorAt(t, e, now) <= 20*time.Millisecond)
		})
	}
}

func TestEstimator_StartsAtMedianAfterLearningTime(t *testing.T) {
	e := NewEstimator(noon)
	e.Observe("own", noon.Add(3*time.Second), noon)
	_, known := e.Now(noon)
	assert.Assert(t, !known, "a single clock may be wrong")
	now := observeFor(e, noon, 3*time.Second, func(source int) time.Duration { return time.Duration(source/4) * time.Minute })
	assert.Equal(t, errorAt(t, e, now), time.Duration(0))
}

func TestFollower_UsesLocalClockUntilSet(t *testing.T) {
	f := NewFollower(noon)
	assert.Assert(t, f.Now(noon.Add(time.Second)).Equal(noon.Add(time.Second)))
	f.Set(noon.Add(-time.Minute), noon)
	assert.Assert(t, f.Now(noon.Add(time.Second)).Equal(noon.Add(time.Second-time.Minute)))
}
