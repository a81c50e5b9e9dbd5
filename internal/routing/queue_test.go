package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMatcher_QueueIsStablySorted(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		matcher := newTestFleet(3, 3, 3, func(int) int { return 0 }).matcher
		var requests []*Request
		for range random.IntN(60) {
			request := &Request{Priority: random.IntN(3), Deadline: noon.Add(time.Duration(random.IntN(5)) * time.Second)}
			requests = append(requests, request)
			matcher.queue.insert(request)
		}
		slices.SortStableFunc(requests, compareRank)
		assert.Assert(t, slices.Equal(requests, matcher.queue.requests))
	}
}

func TestMatcher_RetriesOnlyServableRequestsForFreedReplica(t *testing.T) {
	fixture := newTestFleet(3, 3, 3, func(int) int { return 0 })
	replicas := fixture.snapshot.Load().Replicas
	for position, replica := range replicas {
		replica.Models = map[string]bool{"model-" + string(rune('0'+position)): true}
		fixture.matcher.replicas.state(replica.ID).running = fixtureSlots
	}
	requests := map[string]*Request{}
	for range 3 {
		request := fixture.request()
		requests[request.Model] = request
		fixture.matcher.Enqueue(request)
	}
	fixture.now = fixture.now.Add(time.Second)
	fixture.matcher.Wake()
	assert.Equal(t, len(fixture.matcher.queue.requests), 3)
	fixture.matcher.replicas.state("i-0").running = 3
	fixture.matcher.replicas.state("i-1").running = 3
	fixture.now = fixture.now.Add(time.Millisecond)
	fixture.matcher.HandleReport(Report{
		Ticket:  &Ticket{request: requests["model-0"], replica: "i-0"},
		Outcome: OutcomeServed,
		At:      fixture.now,
	})
	assert.Equal(t, len(requests["model-0"].Decided), 1)
	assert.Equal(t, len(requests["model-1"].Decided), 0)
	wait, needed := fixture.matcher.NextWake()
	assert.Assert(t, needed && wait < retryInterval)
	fixture.now = fixture.now.Add(wait)
	fixture.matcher.Wake()
	assert.Equal(t, len(requests["model-1"].Decided), 1)
	assert.Equal(t, len(requests["model-2"].Decided), 0)
}

func TestMatcher_DecidedRequestsReleaseSnapshot(t *testing.T) {
	fixture := newTestFleet(3, 1, 3, func(int) int { return 0 })
	request := fixture.request()
	fixture.matcher.Enqueue(request)
	decision := <-request.Decided
	assert.Assert(t, decision.Ticket != nil)
	assert.Assert(t, request.hostsIndex == nil && request.hosts == nil)
}
