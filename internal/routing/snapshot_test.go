package routing

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// storeWithout stores and uses a snapshot without one of its replicas, or in full if without is empty.
func (f *testFleet) storeWithout(full *Snapshot, without string) {
	next := *full
	next.Replicas = nil
	for _, replica := range full.Replicas {
		if replica.ID != without {
			copied := *replica
			copied.Index = len(next.Replicas)
			next.Replicas = append(next.Replicas, &copied)
		}
	}
	f.snapshot.Store(&next)
	f.matcher.useLatestSnapshot()
}

func TestMatcher_CountsWarmUpSendsAcrossSnapshots(t *testing.T) {
	fixture := newTestFleet(2, 1, 1, func(int) int { return 0 })
	full := fixture.snapshot.Load()
	full.Replicas[1].Draining = true
	warmUp := full.Replicas[0]
	warmUp.WarmUpUntil = fixture.now.Add(time.Minute)
	fixture.matcher.useLatestSnapshot()
	var undecided []*Request
	sendAll := func() (sent int) {
		for range 40 {
			undecided = append(undecided, fixture.request())
			fixture.matcher.Enqueue(undecided[len(undecided)-1])
		}
		fixture.matcher.Wake()
		undecided = slices.DeleteFunc(undecided, func(request *Request) bool {
			if len(request.Decided) == 0 {
				return false
			}
			sent++
			fixture.matcher.HandleReport(Report{Ticket: (<-request.Decided).Ticket, Outcome: OutcomeServed, At: fixture.now})
			return true
		})
		return sent
	}
	assert.Assert(t, sendAll() > 0)
	fixture.now = fixture.now.Add(100 * time.Millisecond)
	fixture.storeWithout(full, warmUp.ID)
	fixture.now = fixture.now.Add(100 * time.Millisecond)
	fixture.storeWithout(full, "")
	assert.Equal(t, sendAll(), 0, "the sends of the last second still count")
	fixture.storeWithout(full, warmUp.ID)
	fixture.now = fixture.now.Add(unlistedTTL)
	fixture.matcher.collectLoad()
	assert.Assert(t, fixture.matcher.replicas.states[warmUp.ID] == nil, "the state is dropped after unlistedTTL")
}

func TestMatcher_CountsWarmUpShareAsUsedAfterRestart(t *testing.T) {
	fixture := newTestFleet(1, 1, 1, func(int) int { return 0 })
	fixture.snapshot.Load().Replicas[0].WarmUpUntil = fixture.now.Add(time.Minute)
	startedAt := fixture.now
	fixture.matcher.parameters.StartedAt = startedAt
	request := fixture.request()
	fixture.matcher.Enqueue(request)
	fixture.now = startedAt.Add(time.Second - 1)
	fixture.matcher.Wake()
	assert.Equal(t, len(request.Decided), 0, "an earlier incarnation may have sent requests in the same second")
	fixture.now = startedAt.Add(time.Second + retryInterval)
	fixture.matcher.Wake()
	assert.Equal(t, len(request.Decided), 1)
}
