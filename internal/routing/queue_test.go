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

func TestMatcher_ServesLeastSlackFirst(t *testing.T) {
	for name, change := range map[string]func(first, other *Request){
		"less time":   func(first, _ *Request) { first.Deadline = first.Deadline.Add(-time.Second) },
		"longer one":  func(first, _ *Request) { first.OutputTokens *= 2 },
		"more urgent": func(first, other *Request) { first.Priority, other.Deadline = 0, first.Deadline.Add(-9*time.Second) },
		"costs more":  func(first, _ *Request) { first.PromptTokens = 15000 },
		"late already": func(first, _ *Request) {
			first.ArrivedAt, first.Deadline = first.ArrivedAt.Add(-time.Second), first.Deadline.Add(-time.Second)
		},
		"short target": func(first, other *Request) {
			first.Deadline, other.LatencyTarget = first.Deadline.Add(-time.Second), time.Millisecond
		},
		"waited long": func(first, other *Request) {
			other.ArrivedAt, first.Deadline = other.ArrivedAt.Add(-5*time.Second), first.Deadline.Add(-1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := fullFleet()
			fixture.answerIn(time.Second)
			first, other := fixture.patientRequest(15*time.Second), fixture.patientRequest(15*time.Second)
			first.Priority, other.Priority = 1, 1
			change(first, other)
			fixture.matcher.Enqueue(other)
			fixture.matcher.Enqueue(first)
			fixture.now = fixture.now.Add(waitRound)
			fixture.snapshot.Load().PeerLoadsAt = fixture.now
			fixture.freeSlot()
			fixture.matcher.Wake()
			assert.Equal(t, len(first.Decided), 1, "the only slot is for the request with the least slack")
			assert.Equal(t, len(other.Decided), 0)
		})
	}
}
