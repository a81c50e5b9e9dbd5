package autoscale

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noon = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

func TestDemand_RequiredReplicasFitCopiesAndRequests(t *testing.T) {
	cases := map[string]struct {
		demand Demand
		want   int
	}{
		"no demand":              {Demand{Slots: 10, WeightSizeMb: 100}, 0},
		"models without load":    {Demand{Slots: 10, WeightSizeMb: 100, Models: []Model{{SizeMb: 50}, {SizeMb: 50}, {SizeMb: 30}}}, 2},
		"a model in high demand": {Demand{Slots: 10, WeightSizeMb: 100, Models: []Model{{SizeMb: 60, ActiveRequests: 20}}}, 3},
		"slots are the bottleneck": {
			Demand{Slots: 10, WeightSizeMb: 9, Models: []Model{{SizeMb: 1, ActiveRequests: 35}, {SizeMb: 1, ActiveRequests: 35}}}, 10,
		},
		"no memory limit":           {Demand{Slots: 10, Models: []Model{{SizeMb: 1, ActiveRequests: 7}}}, 1},
		"copies of different sizes": {Demand{Slots: 10, WeightSizeMb: 100, Models: []Model{{SizeMb: 51}, {SizeMb: 51}, {SizeMb: 49}}}, 2},
	}
	for name, given := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, given.demand.RequiredReplicas(), given.want) })
	}
}

var limits = Limits{Min: 2, Max: 8, BootTime: 8 * time.Second}

func zonesOf(listed ...int) []Zone {
	zones := []Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	for position, count := range listed {
		zones[position].ListedReplicas = count
	}
	return zones
}

func TestPlanner_StartsFromListedReplicasAndAddsAtOnce(t *testing.T) {
	p := NewPlanner()
	assert.DeepEqual(t, p.Plan(zonesOf(4, 5, 4), limits, 13, noon), map[string]int{"a": 4, "b": 5, "c": 4})
	assert.DeepEqual(t, p.Plan(zonesOf(4, 5, 4), limits, 15, noon), map[string]int{"a": 5, "b": 5, "c": 5})
	assert.DeepEqual(t, p.Plan(zonesOf(4, 5, 4), limits, 100, noon), map[string]int{"a": 8, "b": 8, "c": 8})
}

func TestPlanner_RemovesLastingSurplusInSteps(t *testing.T) {
	p := NewPlanner()
	last := 24
	for second := range 600 {
		total := 0
		for _, count := range p.Plan(zonesOf(8, 8, 8), limits, 3, noon.Add(time.Duration(second)*time.Second)) {
			total += count
		}
		if second < 24 {
			assert.Equal(t, total, 24, "a short surplus removes nothing")
		}
		assert.Assert(t, last-total <= max(last/10, 1), "at most a tenth is removed per step")
		last = total
	}
	assert.Equal(t, last, 3*limits.Min)
}

func TestPlanner_IgnoresCrashesAndCompensatesForLastingShortfall(t *testing.T) {
	p := NewPlanner()
	p.Plan(zonesOf(4, 4, 4), limits, 12, noon)
	assert.DeepEqual(t, p.Plan(zonesOf(1, 4, 4), limits, 12, noon), map[string]int{"a": 4, "b": 4, "c": 4})
	later := noon.Add(13 * time.Second)
	assert.DeepEqual(t, p.Plan(zonesOf(1, 4, 4), limits, 12, later), map[string]int{"a": 4, "b": 6, "c": 6})
}

func TestPlanner_StaysWithinLimits(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p, now := NewPlanner(), noon
		for range 200 {
			now = now.Add(time.Duration(rng.IntN(10)) * time.Second)
			zones := zonesOf(rng.IntN(12), rng.IntN(12), rng.IntN(12))
			zones[rng.IntN(3)].IsDrained = rng.IntN(4) == 0
			for _, count := range p.Plan(zones, limits, rng.IntN(40), now) {
				assert.Assert(t, count >= limits.Min && count <= limits.Max)
			}
		}
	}
}
