package match

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/partner"
)

func TestGivenOutcomesThenOnlyAShareFarAbovePeersIsEvidence(t *testing.T) {
	cases := []struct {
		served, failed, peers float64
		out                   bool
	}{
		{0, 1, 0.02, false},
		{0, 2, 0.02, true},
		{12, 2, 0.02, false},
		{12, 4, 0.02, true},
		{50, 2, 0.03, false},
		{6, 4, 0.35, false},
		{5, 5, 0.5, false},
		{0, 9, 0.9, false},
	}
	for _, one := range cases {
		weight := evidence(partner.Outcomes{Served: one.served, Failed: one.failed}, one.peers)
		assert.Equal(t, weight > outEvidence, one.out, "%+v gives %f", one, weight)
	}
}

func TestGivenRelapsesThenThePauseGrowsAndShrinksOnlyAfterACalmTime(t *testing.T) {
	now := time.Unix(1000, 0)
	one := &standing{}
	var failed tally
	step := func(span time.Duration) {
		now = now.Add(span)
		failed.advance(now)
		one.review(failed.Outcomes, evidence(failed.Outcomes, soundShare), now)
	}
	fail := func() { failed.add(0, 2, now) }
	var holds []time.Duration
	for range 5 {
		fail()
		step(0)
		assert.Equal(t, one.stage, stageOut)
		holds = append(holds, one.hold)
		for one.stage != stageTrickle {
			step(reviewEvery)
		}
	}
	for position, hold := range holds[1:] {
		assert.Equal(t, hold, min(2*holds[position], lastHold))
	}
	for range 200 {
		step(reviewEvery)
	}
	assert.Equal(t, one.stage, stageIn)
	fail()
	step(0)
	assert.Equal(t, one.hold, firstHold)
}

func TestGivenATallyThenItFadesByHalves(t *testing.T) {
	now := time.Unix(1000, 0)
	one := tally{}
	one.add(8, 4, now)
	one.advance(now.Add(halfLife))
	assert.Assert(t, math.Abs(one.Served-4) < 1e-9 && math.Abs(one.Failed-2) < 1e-9)
}

func TestGivenFailuresByZonesThenOnlyOneThatStandsOutIsDoubted(t *testing.T) {
	assert.DeepEqual(t, doubtedAreas(map[string]areaCount{"north": {30, 12}, "south": {30, 1}, "east": {30, 0}}), []string{"north"})
	assert.Equal(t, len(doubtedAreas(map[string]areaCount{"north": {30, 12}, "south": {30, 11}, "east": {30, 13}})), 0)
	assert.Equal(t, len(doubtedAreas(map[string]areaCount{"north": {30, 4}, "south": {30, 0}})), 0)
	assert.Equal(t, len(doubtedAreas(map[string]areaCount{"north": {4, 2}, "south": {30, 0}})), 0)
	assert.Equal(t, len(doubtedAreas(map[string]areaCount{"north": {30, 30}})), 0)
}
