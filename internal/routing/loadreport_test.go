package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

func TestMatcher_LoadReportOmitsIdleReplicas(t *testing.T) {
	fixture := newTestFleet(30, 30, 3, func(int) int { return 0 })
	request := fixture.request()
	fixture.matcher.Enqueue(request)
	decision := <-request.Decided
	suspected := fixture.matcher.replicas.watch("i-8")
	suspected.suspect(fixture.now)
	report := fixture.matcher.collectLoad()
	assert.DeepEqual(t, report.Replicas, map[string]peer.ReplicaLoad{
		decision.Replica.ID: {Running: 1, Tokens: request.TotalTokens(), PrefillTokens: 800},
		"i-8":               {Suspected: true},
	})
	fixture.matcher.HandleReport(Report{Ticket: decision.Ticket, Outcome: OutcomeServed, At: fixture.now})
	fixture.now = fixture.now.Add(2 * minSuspicion)
	served := fixture.matcher.collectLoad().Replicas
	assert.Equal(t, len(served), 1)
	assert.Equal(t, served[decision.Replica.ID], peer.ReplicaLoad{Outcomes: peer.Outcomes{Served: 0.3}}, "only the outcomes are reported")
	fixture.now = fixture.now.Add(10 * halfLife)
	assert.Equal(t, len(fixture.matcher.collectLoad().Replicas), 0)
	suspected.suspect(fixture.now)
	fixture.matcher.replicas.watch("i-8")
	assert.Equal(t, len(fixture.matcher.collectLoad().Replicas), 1)
}

func TestMatcher_DropsStateOfUnlistedReplica(t *testing.T) {
	fixture := newTestFleet(3, 1, 3, func(int) int { return 0 })
	first, second := fixture.request(), fixture.request()
	fixture.matcher.Enqueue(first)
	decision := <-first.Decided
	assert.Assert(t, fixture.matcher.ledger.Len() > 0)
	fleet := *fixture.snapshot.Load()
	fleet.Replicas = nil
	for _, replica := range fixture.snapshot.Load().Replicas {
		if replica.ID != decision.Replica.ID {
			fleet.Replicas = append(fleet.Replicas, replica)
		}
	}
	fixture.snapshot.Store(&fleet)
	fixture.matcher.Wake()
	assert.Assert(t, fixture.matcher.replicas.states[decision.Replica.ID] != nil)
	fixture.matcher.HandleReport(Report{Ticket: decision.Ticket, Outcome: OutcomeServed, At: fixture.now})
	assert.Equal(t, len(fixture.matcher.collectLoad().Replicas), 0)
	assert.Equal(t, fixture.matcher.ledger.Len(), 0)
	fixture.now = fixture.now.Add(unlistedTTL - 1)
	fixture.matcher.collectLoad()
	assert.Assert(t, fixture.matcher.replicas.states[decision.Replica.ID] != nil, "the state is kept for unlistedTTL")
	fixture.now = fixture.now.Add(1)
	fixture.matcher.collectLoad()
	assert.Assert(t, fixture.matcher.replicas.states[decision.Replica.ID] == nil)
	assert.Equal(t, fixture.matcher.replicas.unlisted, 0)
	fixture.matcher.Enqueue(second)
	assert.Assert(t, (<-second.Decided).Replica.ID != decision.Replica.ID)
	fixture.snapshot.Store(&Snapshot{Table: fleet.Table})
	fixture.now = fixture.now.Add(time.Second)
	fixture.matcher.Wake()
	assert.Equal(t, len(fixture.matcher.replicas.states) > 0, true)
}

// The time by which a model must be loaded follows the most urgent of the waiting requests that a load can still serve.
func TestMatcher_LoadReportStatesWhenModelMustBeLoaded(t *testing.T) {
	for name, test := range map[string]struct {
		remaining []time.Duration
		dueMs     float64
	}{
		"one":                {[]time.Duration{15 * time.Second}, 14000},
		"most urgent":        {[]time.Duration{15 * time.Second, 9 * time.Second}, 8000},
		"one comes too late": {[]time.Duration{15 * time.Second, 6 * time.Second}, 14000},
	} {
		fixture := fleetWithMissingModel(5.5)
		for _, remaining := range test.remaining {
			request := fixture.patientRequest(remaining)
			request.Model = "model-1"
			fixture.matcher.setAnswerTime(request, time.Second)
			fixture.matcher.Enqueue(request)
		}
		load := fixture.matcher.CollectLoad()
		assert.Equal(t, load.Models[0].LoadDueMs, test.dueMs, name)
	}
}
