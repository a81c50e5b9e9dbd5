package match

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

func TestGivenRunningAndSuspectReplicasThenTheyAloneAreTold(t *testing.T) {
	fixture := newTestFleet(30, 30, 3, func(int) int { return 0 })
	request := fixture.request()
	fixture.matcher.Begin(request)
	command := <-request.Answer
	lost := fixture.matcher.watchState("i-8")
	lost.distrust(fixture.now)
	told := fixture.matcher.collectLoad()
	assert.DeepEqual(t, told.Replicas, map[string]peer.ReplicaLoad{
		command.Replica.ID: {Running: 1, Tokens: request.Tokens(), Prefill: 800},
		"i-8":              {Suspect: true},
	})
	fixture.matcher.Tell(Report{Ticket: command.Ticket, Outcome: OutcomeServed, At: fixture.now})
	fixture.now = fixture.now.Add(2 * firstSuspicion)
	served := fixture.matcher.collectLoad().Replicas
	assert.Equal(t, len(served), 1)
	assert.Equal(t, served[command.Replica.ID], peer.ReplicaLoad{Outcomes: peer.Outcomes{Served: 0.3}}, "only how it went")
	fixture.now = fixture.now.Add(10 * halfLife)
	assert.Equal(t, len(fixture.matcher.collectLoad().Replicas), 0)
	lost.distrust(fixture.now)
	fixture.matcher.watchState("i-8")
	assert.Equal(t, len(fixture.matcher.collectLoad().Replicas), 1)
}

func TestGivenAReplicaThatLeftThenItsStateAndItsEntriesGoOnceNothingRunsThere(t *testing.T) {
	fixture := newTestFleet(3, 1, 3, func(int) int { return 0 })
	first, second := fixture.request(), fixture.request()
	fixture.matcher.Begin(first)
	command := <-first.Answer
	assert.Assert(t, fixture.matcher.ledger.Size() > 0)
	fleet := *fixture.fleet.Load()
	fleet.Replicas = nil
	for _, replica := range fixture.fleet.Load().Replicas {
		if replica.ID != command.Replica.ID {
			fleet.Replicas = append(fleet.Replicas, replica)
		}
	}
	fixture.fleet.Store(&fleet)
	fixture.matcher.Wake()
	assert.Assert(t, fixture.matcher.states[command.Replica.ID] != nil)
	fixture.matcher.Tell(Report{Ticket: command.Ticket, Outcome: OutcomeServed, At: fixture.now})
	assert.Equal(t, len(fixture.matcher.collectLoad().Replicas), 0)
	assert.Equal(t, fixture.matcher.ledger.Size(), 0)
	fixture.now = fixture.now.Add(unlistedLife - 1)
	fixture.matcher.collectLoad()
	assert.Assert(t, fixture.matcher.states[command.Replica.ID] != nil, "it may be back")
	fixture.now = fixture.now.Add(1)
	fixture.matcher.collectLoad()
	assert.Assert(t, fixture.matcher.states[command.Replica.ID] == nil)
	assert.Equal(t, fixture.matcher.unlisted, 0)
	fixture.matcher.Begin(second)
	assert.Assert(t, (<-second.Answer).Replica.ID != command.Replica.ID)
	fixture.fleet.Store(&Fleet{Table: fleet.Table})
	fixture.now = fixture.now.Add(time.Second)
	fixture.matcher.Wake()
	assert.Equal(t, len(fixture.matcher.states) > 0, true)
}
