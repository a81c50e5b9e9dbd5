package phasebalance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
)

// fleet returns serving replicas spread over zones, the first of which are prefill replicas.
func fleet(total, prefill, zones int) []Replica {
	replicas := make([]Replica, total)
	for index := range replicas {
		replicas[index] = Replica{
			ID:             fmt.Sprintf("i-%02d", index),
			Zone:           fmt.Sprintf("zone-%d", index%zones),
			Phase:          discovery.PhaseDecode,
			CanChangePhase: true,
			Serving:        true,
		}
		if index < prefill {
			replicas[index].Phase = discovery.PhasePrefill
		}
	}
	return replicas
}

func count(replicas []Replica, phase discovery.Phase) int {
	found := 0
	for _, replica := range replicas {
		if replica.Phase == phase {
			found++
		}
	}
	return found
}

// apply applies changes to the replicas.
func apply(replicas []Replica, changes []Change) {
	for _, change := range changes {
		for index := range replicas {
			if replicas[index].ID == change.Replica {
				replicas[index].Phase = change.Phase
			}
		}
	}
}

// settle plans and applies changes until a plan has none, and returns the number of changes.
func settle(t *testing.T, replicas []Replica, running float64) int {
	t.Helper()
	changed, moving := 0, false
	for range 50 {
		result := Plan(Input{Replicas: replicas, RunningRequests: running, SlotsPerReplica: 64, Rebalancing: moving})
		moving = result.Rebalancing
		if len(result.Changes) == 0 {
			return changed
		}
		changed += len(result.Changes)
		apply(replicas, result.Changes)
	}
	t.Fatal("the plans still have changes after 50 rounds")
	return changed
}

func TestPlan_SizesDecodeByRunningRequests(t *testing.T) {
	for _, test := range []struct {
		name            string
		running         float64
		before          int
		lowest, highest int
	}{
		{"short answers", 100, 37, 61, 63},
		{"long answers", 700, 70, 44, 48},
		{"answers that fill all slots", 5000, 70, 43, 46},
		{"no load", 0, 37, 37, 37},
	} {
		t.Run(test.name, func(t *testing.T) {
			replicas := fleet(90, test.before, 3)
			settle(t, replicas, test.running)
			prefill := count(replicas, discovery.PhasePrefill)
			assert.Assert(t, prefill >= test.lowest && prefill <= test.highest, "%d", prefill)
		})
	}
}

func TestPlan_IgnoresSmallImbalances(t *testing.T) {
	replicas := fleet(90, 58, 3)
	result := Plan(Input{Replicas: replicas, RunningRequests: 300, SlotsPerReplica: 64})
	assert.Equal(t, len(result.Changes), 0)
	assert.Assert(t, !result.Rebalancing)
	result = Plan(Input{Replicas: replicas, RunningRequests: 300, SlotsPerReplica: 64, Rebalancing: true})
	assert.Assert(t, len(result.Changes) > 0, "rebalancing continues once it has started")
}

func TestPlan_LimitsConcurrentChanges(t *testing.T) {
	replicas := fleet(90, 20, 3)
	for index := 20; index < 45; index++ {
		replicas[index].Phase, replicas[index].ChangingPhase, replicas[index].CanChangePhase = discovery.PhasePrefill, true, false
	}
	result := Plan(Input{Replicas: replicas, RunningRequests: 100, SlotsPerReplica: 64})
	assert.Equal(t, len(result.Changes), 5)
}

func TestPlan_KeepsDecodeHeadroom(t *testing.T) {
	replicas := fleet(90, 10, 3)
	for index := range replicas[10:70] {
		replicas[10+index].Serving = false
	}
	result := Plan(Input{Replicas: replicas, RunningRequests: 320, SlotsPerReplica: 64})
	assert.Assert(t, len(result.Changes) <= 20-8, "%d", len(result.Changes))
}

func TestPlan_ChangesOnlyReplicasThatCanChangePhase(t *testing.T) {
	replicas := fleet(12, 4, 3)
	for index := range replicas {
		replicas[index].CanChangePhase = index >= 10
	}
	result := Plan(Input{Replicas: replicas, RunningRequests: 5, SlotsPerReplica: 64})
	for _, change := range result.Changes {
		assert.Assert(t, change.Replica == "i-10" || change.Replica == "i-11", change.Replica)
	}
	assert.Assert(t, len(result.Changes) > 0)
}

// Checked in random fleets: no zone loses its last replica of a phase, and the number of plans is finite.
func TestPlan_KeepsBothPhasesInEachZone(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		zones := 1 + random.IntN(4)
		total := 2*zones + random.IntN(60)
		replicas := fleet(total, zones+random.IntN(total-2*zones+1), zones)
		before := zonesByPhase(replicas)
		settle(t, replicas, random.Float64()*float64(total)*40)
		after := zonesByPhase(replicas)
		for key := range before {
			assert.Assert(t, after[key] > 0, "%v lost its last replica", key)
		}
	}
}

// zonesByPhase counts replicas by zone and phase.
func zonesByPhase(replicas []Replica) map[string]int {
	counts := map[string]int{}
	for _, replica := range replicas {
		counts[replica.Zone+" "+string(replica.Phase)]++
	}
	return counts
}
