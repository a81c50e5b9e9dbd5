package match

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// swap takes a snapshot without one of its replicas into use, or the whole one.
func (g *testFleet) swap(whole *Fleet, without string) {
	next := *whole
	next.Replicas = nil
	for _, one := range whole.Replicas {
		if one.ID != without {
			copied := *one
			copied.Index = len(next.Replicas)
			next.Replicas = append(next.Replicas, &copied)
		}
	}
	g.fleet.Store(&next)
	g.matcher.adopt()
}

func TestGivenAColdReplicaThatASnapshotLeavesOutForAMomentThenItsSendsStillCount(t *testing.T) {
	fixture := newTestFleet(2, 1, 1, func(int) int { return 0 })
	whole := fixture.fleet.Load()
	whole.Replicas[1].Draining = true
	cold := whole.Replicas[0]
	cold.ColdUntil = fixture.now.Add(time.Minute)
	fixture.matcher.adopt()
	var undecided []*Request
	sendAll := func() (sent int) {
		for range 40 {
			undecided = append(undecided, fixture.request())
			fixture.matcher.Begin(undecided[len(undecided)-1])
		}
		fixture.matcher.Wake()
		undecided = slices.DeleteFunc(undecided, func(request *Request) bool {
			if len(request.Answer) == 0 {
				return false
			}
			sent++
			fixture.matcher.Tell(Report{Ticket: (<-request.Answer).Ticket, Outcome: OutcomeServed, At: fixture.now})
			return true
		})
		return sent
	}
	assert.Assert(t, sendAll() > 0)
	fixture.now = fixture.now.Add(100 * time.Millisecond)
	fixture.swap(whole, cold.ID)
	fixture.now = fixture.now.Add(100 * time.Millisecond)
	fixture.swap(whole, "")
	assert.Equal(t, sendAll(), 0, "the second is not over")
	fixture.swap(whole, cold.ID)
	fixture.now = fixture.now.Add(unlistedLife)
	fixture.matcher.collectLoad()
	assert.Assert(t, fixture.matcher.states[cold.ID] == nil, "left out for long: forgotten")
}

func TestGivenADataPlaneThatRestartedThenItCountsItsShareOfAColdReplicaAsUsedUp(t *testing.T) {
	fixture := newTestFleet(1, 1, 1, func(int) int { return 0 })
	fixture.fleet.Load().Replicas[0].ColdUntil = fixture.now.Add(time.Minute)
	began := fixture.now
	fixture.matcher.parameters.LifeBegan = began
	request := fixture.request()
	fixture.matcher.Begin(request)
	fixture.now = began.Add(time.Second - 1)
	fixture.matcher.Wake()
	assert.Equal(t, len(request.Answer), 0, "the life before may have sent it in the same second")
	fixture.now = began.Add(time.Second + retryInterval)
	fixture.matcher.Wake()
	assert.Equal(t, len(request.Answer), 1)
}
