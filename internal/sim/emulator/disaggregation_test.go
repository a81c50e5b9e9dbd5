package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
)

// disaggregatedScenario is a fleet of one model with disaggregated prefill and decode, long prompts and short outputs.
func disaggregatedScenario(seed uint64, prefillShare float64) Scenario {
	s := sampleScenario(seed)
	s.Models.Count, s.Models.PerReplica, s.Models.Adapters = 1, 1, 0
	s.Replica.KvCacheTokens = 120000
	s.Disaggregation.PrefillShare = prefillShare
	s.Placement.FillRatio = 1
	s.Classes = s.Classes[:1]
	s.Classes[0].Share = 1
	s.Classes[0].Prompt = LogNormal{Median: 3000, Sigma: 0.8, Max: 20000}
	s.Classes[0].Output = LogNormal{Median: 20, Sigma: 0.5, Max: 80}
	s.Traffic.RatePerS, s.Traffic.Turns = 5, 1
	s.Classes[0].LatencyTargetMs = 1500
	return s
}

func TestDisaggregation_PhasesFollowPrefillShare(t *testing.T) {
	disaggregation := Disaggregation{PrefillShare: 0.4}
	prefill := 0
	for place := range 10 {
		if disaggregation.phaseOf(place) == discovery.PhasePrefill {
			prefill++
		}
	}
	assert.Equal(t, prefill, 4)
	assert.Equal(t, Disaggregation{}.phaseOf(3), discovery.Phase(""))
}

func TestWorld_DisaggregatedRequestsEndOnceAndReleaseMemory(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		for _, inSequence := range []bool{false, true} {
			scenario := disaggregatedScenario(seed, 0.5)
			scenario.Disaggregation.SequentialSelection = inSequence
			scenario.Crashes = []Crash{{AtS: 20, Replica: 2, RestartS: 3}, {AtS: 30, Replica: 5, RestartS: 4}, {AtS: 40, Replica: 1}}
			world, err := NewWorld(scenario)
			assert.NilError(t, err)
			result := world.Run()
			assert.DeepEqual(t, result.Violations, []string{})
			class := result.Classes[0]
			ended := 0
			for _, amount := range class.Outcomes {
				ended += amount
			}
			assert.Equal(t, ended, class.Offered)
			assert.Assert(t, class.InTime*10 > class.Offered*6, "%d of %d in time, %v", class.InTime, class.Offered, class.Outcomes)
			for _, replica := range world.servers {
				if !replica.dead {
					assert.Equal(t, len(replica.queue)+len(replica.running)+replica.fetching, 0)
					assert.Assert(t, replica.cache.reserved < 1e-6, "%s still has %f tokens reserved", replica.id, replica.cache.reserved)
				}
			}
			for _, dataPlane := range world.edges {
				assert.Equal(t, len(dataPlane.waiting)+dataPlane.matcher.WaitingCount(), 0)
			}
		}
	}
}

func TestWorld_ReplicasRejectRequestsOfTheOtherPhase(t *testing.T) {
	t.Parallel()
	world, err := NewWorld(disaggregatedScenario(1, 0.4))
	assert.NilError(t, err)
	result := world.Run()
	assert.DeepEqual(t, result.Violations, []string{})
	assert.Assert(t, result.Classes[0].Outcomes["served"] > 0)
	for _, replica := range world.servers {
		run := &execution{prefill: replica.machine.phase != discovery.PhasePrefill, model: modelName(0)}
		run.attempt = world.calls[0].attempt
		assert.Equal(t, replica.accept(run), admissionModelMissing, replica.id)
	}
}

func TestServer_TransferTimeGrowsWithDistance(t *testing.T) {
	world, err := NewWorld(disaggregatedScenario(1, 0.5))
	assert.NilError(t, err)
	request := &Request{Prompt: 10000}
	source := &heldPrompt{server: world.machines[0].current, run: &execution{attempt: &attempt{call: &call{request: request}}}}
	near, zone, region := world.machines[1].current, world.machines[4].current, world.machines[8].current
	assert.Assert(t, near.transferTime(source) < zone.transferTime(source))
	assert.Assert(t, zone.transferTime(source) < region.transferTime(source))
	setup := milliseconds(world.scenario.Disaggregation.SetupMs)
	assert.Equal(t, region.transferTime(source)-setup, 10*(near.transferTime(source)-setup))
}
