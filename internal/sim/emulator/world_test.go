package emulator

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func sampleScenario(seed uint64) Scenario {
	s := Defaults()
	s.Seed = seed
	s.LengthS = 60
	s.WarmS = 10
	s.Zones = []Zone{
		{Name: "n1", Region: "north", DataPlanes: 2, Replicas: 4, Clients: 1},
		{Name: "n2", Region: "north", DataPlanes: 1, Replicas: 3, Clients: 1},
		{Name: "s1", Region: "south", DataPlanes: 2, Replicas: 4, Clients: 1},
	}
	s.Traffic = Traffic{RatePerS: 14, BurstEveryS: 20, BurstLengthS: 3, BurstFactor: 2, Turns: 3, ThinkS: 5}
	s.Classes = []Class{
		{
			Name:            "quick",
			Share:           0.6,
			LatencyTargetMs: 600,
			TimeoutMs:       15000,
			TokenGapMs:      300,
			Priority:        1,
			RetryCount:      2,
			Attempts:        4,
			Prompt:          LogNormal{Median: 400, Sigma: 0.7, Max: 3000},
			Output:          LogNormal{Median: 40, Sigma: 0.5, Max: 200},
		},
		{
			Name:            "report",
			Share:           0.4,
			LatencyTargetMs: 8000,
			TimeoutMs:       45000,
			TokenGapMs:      300,
			Resumable:       true,
			RetryCount:      2,
			Attempts:        6,
			Prompt:          LogNormal{Median: 900, Sigma: 0.6, Max: 4000},
			Output:          LogNormal{Median: 200, Sigma: 0.5, Max: 600},
		},
	}
	return s
}

func run(t *testing.T, scenario Scenario) Result {
	t.Helper()
	world, err := NewWorld(scenario)
	assert.NilError(t, err)
	return world.Run()
}

func scenarioWithFailures(seed uint64) Scenario {
	scenario := sampleScenario(seed)
	scenario.Losses = []Loss{{
		Region:   "south",
		AtS:      25,
		RestoreS: 45,
	}, {
		Zone:     "n2",
		AtS:      50,
		RestoreS: 55,
		Closed:   true,
	}}
	scenario.Crashes = []Crash{{AtS: 15, Replica: 1, RestartS: 5}, {AtS: 30, Replica: 5}}
	scenario.Slowdowns = []Slowdown{{AtS: 12, EndS: 22, Replica: 2, Factor: 6}}
	return scenario
}

func TestWorld_EachRequestEndsOnceUnderFailures(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		world, err := NewWorld(scenarioWithFailures(seed))
		assert.NilError(t, err)
		result := world.Run()
		assert.DeepEqual(t, result.Violations, []string{})
		offered, buckets := 0, 0
		for _, class := range result.Classes {
			ended := 0
			for _, amount := range class.Outcomes {
				ended += amount
			}
			assert.Equal(t, ended, class.Offered, class.Name)
			assert.Equal(t, class.Outcomes["served"] >= class.InTime && class.InTime > 0, true, class.Name)
			for _, bucket := range class.Buckets {
				buckets += bucket.Offered
			}
			offered += class.Offered
		}
		assert.Equal(t, offered, len(world.calls))
		assert.Equal(t, buckets, offered)
		assert.Assert(t, result.Samples[len(result.Samples)-1].DiskLoads > 0, "models must be reloaded from the replicas' disks")
		for _, replica := range world.servers {
			if !replica.dead {
				assert.Equal(t, len(replica.queue)+len(replica.running), 0)
				assert.Assert(t, replica.cache.reserved < 1e-6, "%s still has %f tokens reserved", replica.id, replica.cache.reserved)
			}
		}
		for _, dataPlane := range world.edges {
			assert.Equal(t, len(dataPlane.waiting)+dataPlane.matcher.WaitingCount(), 0)
		}
	}
}

func TestWorld_LongStreamsDeliveredExactlyOnceAfterRegionLoss(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		scenario := sampleScenario(seed)
		scenario.Losses = []Loss{{Region: "south", AtS: 25, RestoreS: 45}}
		world, err := NewWorld(scenario)
		assert.NilError(t, err)
		result := world.Run()
		assert.DeepEqual(t, result.Violations, []string{})
		resumed := 0
		for _, clientCall := range world.calls {
			if !clientCall.class.Resumable || clientCall.outcome != outcomeServed {
				continue
			}
			request := clientCall.request
			assert.Equal(t, clientCall.received, request.Output, "request %d of class %s", request.Number, clientCall.class.Name)
			if clientCall.attemptsMade > 1 {
				resumed++
			}
		}
		assert.Assert(t, resumed > 0, "the loss must interrupt some streams")
		report := result.Classes[1]
		assert.Assert(t, report.Outcomes[outcomeBroken]+report.Outcomes[outcomeSilent] == 0, "%v", report.Outcomes)
	}
}

func TestWorld_DetectsEventsRepeatedOnResume(t *testing.T) {
	scenario := sampleScenario(1)
	scenario.Losses = []Loss{{Region: "south", AtS: 25, RestoreS: 45}}
	scenario.Replica.RepeatedEvents = 1
	assert.Assert(t, len(run(t, scenario).Violations) > 0, "the check must detect repeated events")
}

func TestWorld_ReportsDuplicateAndMissingEvents(t *testing.T) {
	for _, badID := range []int{1, 3} {
		world, err := NewWorld(sampleScenario(1))
		assert.NilError(t, err)
		clientCall := &call{
			world:        world,
			request:      &Request{Output: 9},
			class:        &world.scenario.Classes[1],
			attemptsMade: 1,
			attempt:      &attempt{},
		}
		clientCall.receiveEvent(1, 1)
		assert.Equal(t, len(world.violations), 0)
		clientCall.receiveEvent(1, badID)
		assert.Equal(t, len(world.violations), 1)
	}
}

func TestWorld_SameSeedGivesSameResult(t *testing.T) {
	t.Parallel()
	encodedResult := func(seed uint64) string {
		content, err := json.Marshal(run(t, scenarioWithFailures(seed)))
		assert.NilError(t, err)
		return string(content)
	}
	first := encodedResult(3)
	for range 2 {
		assert.Assert(t, encodedResult(3) == first)
	}
	assert.Assert(t, encodedResult(4) != first)
}

func TestWorld_SteadyStateObeysLittlesLaw(t *testing.T) {
	t.Parallel()
	world, err := NewWorld(sampleScenario(2))
	assert.NilError(t, err)
	step := 50 * time.Millisecond
	inFlight := 0
	polls := 0
	for at := step; at <= 120*time.Second; at += step {
		world.events.RunUntil(world.startedAt.Add(at))
		polls++
		for _, clientCall := range world.calls {
			if !clientCall.startedAt.IsZero() && !clientCall.ended {
				inFlight++
			}
		}
	}
	totalTime := 0.0
	for _, clientCall := range world.calls {
		assert.Assert(t, clientCall.ended)
		totalTime += clientCall.endedAt.Sub(clientCall.startedAt).Seconds()
	}
	meanInFlight := float64(inFlight) / float64(polls)
	expected := totalTime / 120
	assert.Assert(t, math.Abs(meanInFlight-expected) < 0.02*expected, "%f in flight, %f by Little's law", meanInFlight, expected)
}

func TestScenario_NamesEveryInvalidField(t *testing.T) {
	scenario := scenarioWithFailures(1)
	scenario.Losses[0].Region = "nowhere"
	scenario.Classes[0].LatencyTargetMs = 0
	scenario.Placement.Copies = "all"
	_, err := NewWorld(scenario)
	for _, named := range []string{`unknown region "nowhere"`, `classes "quick"`, `not "all"`} {
		assert.ErrorContains(t, err, named)
	}
}
