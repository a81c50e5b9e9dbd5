package routing

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

const (
	fixtureSlots  = 12
	fixtureCopies = 3
	fixtureMemory = 200000
)

// testFleet is a matcher with a fleet of one backend in one zone, in which each model is loaded at fixtureCopies
// replicas.
type testFleet struct {
	matcher  *Matcher
	snapshot *atomic.Pointer[Snapshot]
	now      time.Time
	models   int
	number   int
}

func newTestTable(models int) *configuration.Table {
	backend := configuration.Backend{
		Name:     "service",
		ColdPerS: 5.5,
		Runtime:  &configuration.Runtime{Slots: fixtureSlots, KvCacheTokens: fixtureMemory},
	}
	for model := range models {
		backend.Runtime.Models = append(backend.Runtime.Models, configuration.Model{Name: "model-" + strconv.Itoa(model)})
	}
	return configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{backend}}, nil)
}

// newTestSnapshot returns a snapshot; peerRunning returns the number of requests that the other data planes run at a replica.
func newTestSnapshot(replicas, models, dataPlanes int, peerRunning func(replica int) int, now time.Time) *Snapshot {
	fleet := &Snapshot{
		Table:          newTestTable(models),
		DrainedZones:   map[string]bool{},
		DataPlaneCount: dataPlanes,
		ListedAt:       now,
		PeerLoadsAt:    now,
		PeerLoads:      map[string]peer.ReplicaLoad{},
	}
	loadedModels := make([][]discovery.LoadedModel, replicas)
	for model := range models {
		for copied := range fixtureCopies {
			at := (model + copied*(replicas/fixtureCopies)) % replicas
			loadedModels[at] = append(loadedModels[at], discovery.LoadedModel{Name: "model-" + strconv.Itoa(model)})
		}
	}
	for index := range replicas {
		listed := discovery.Replica{
			ID:      "i-" + strconv.Itoa(index),
			Backend: "service",
			Zone:    "north",
			Slots:   fixtureSlots,
			Models:  loadedModels[index],
		}
		fleet.Replicas = append(fleet.Replicas, NewReplica(index, listed, now, nil))
		if running := peerRunning(index); running > 0 {
			fleet.PeerLoads[listed.ID] = peer.ReplicaLoad{Running: running, Tokens: float64(running) * 1000}
		}
	}
	return fleet
}

func newTestFleet(replicas, models, dataPlanes int, peerRunning func(replica int) int) *testFleet {
	fixture := &testFleet{now: noon, models: models, snapshot: &atomic.Pointer[Snapshot]{}}
	fixture.snapshot.Store(newTestSnapshot(replicas, models, dataPlanes, peerRunning, fixture.now))
	fixture.matcher = NewMatcher(DefaultParameters(), "north", func() time.Time { return fixture.now }, fixture.snapshot)
	return fixture
}

// request returns the next of a sequence of requests that share prefixes and cycle through the models.
func (f *testFleet) request() *Request {
	f.number++
	parts := []PromptPart{{uint64(f.number % 50), 400}, {uint64(f.number % 500), 200}}
	return &Request{
		AttemptID:        strconv.Itoa(f.number),
		Backend:          "service",
		Model:            "model-" + strconv.Itoa(f.number*7%f.models),
		Parts:            parts,
		PrefixHashes:     HashPrefixes(parts),
		PromptTokens:     800,
		OutputTokens:     100,
		ArrivedAt:        f.now,
		Deadline:         f.now.Add(30 * time.Second),
		LatencyTarget:    8 * time.Second,
		Priority:         f.number % 3,
		ExcludedReplicas: map[string]bool{},
	}
}

var fleetSizes = []struct{ replicas, models, dataPlanes int }{{9, 28, 8}, {140, 450, 80}, {720, 1600, 400}}

// atSizes runs a benchmark at several fleet sizes.
func atSizes(b *testing.B, run func(b *testing.B, replicas, models, dataPlanes int)) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("replicas=%d", size.replicas), func(b *testing.B) {
			b.ReportAllocs()
			run(b, size.replicas, size.models, size.dataPlanes)
		})
	}
}

func BenchmarkMatcher_OneRequest(b *testing.B) {
	atSizes(b, func(b *testing.B, replicas, models, dataPlanes int) {
		fixture := newTestFleet(replicas, models, dataPlanes, func(replica int) int { return replica % 6 })
		for b.Loop() {
			fixture.now = fixture.now.Add(100 * time.Microsecond)
			fixture.snapshot.Load().PeerLoadsAt = fixture.now
			request := fixture.request()
			fixture.matcher.Enqueue(request)
			decision := <-request.Decided
			fixture.matcher.HandleReport(Report{Ticket: decision.Ticket, Outcome: OutcomeFirstEvent, At: fixture.now})
			fixture.matcher.HandleReport(Report{Ticket: decision.Ticket, Outcome: OutcomeServed, At: fixture.now})
		}
	})
}

func BenchmarkMatcher_DecideSixteen(b *testing.B) {
	atSizes(b, func(b *testing.B, replicas, models, dataPlanes int) {
		fixture := newTestFleet(replicas, models, dataPlanes, func(replica int) int { return replica % 6 })
		fixture.matcher.Wake()
		for b.Loop() {
			var requests []*Request
			for range 16 {
				request := fixture.request()
				request.Decided = make(chan Decision, 1)
				requests = append(requests, request)
				fixture.matcher.queue.requests = append(fixture.matcher.queue.requests, request)
			}
			fixture.matcher.decideWaiting()
			for _, request := range requests {
				fixture.matcher.HandleReport(Report{Ticket: (<-request.Decided).Ticket, Outcome: OutcomeServed, At: fixture.now})
			}
		}
	})
}

func BenchmarkMatcher_SixteenRequestsWithoutModel(b *testing.B) {
	atSizes(b, func(b *testing.B, replicas, models, dataPlanes int) {
		fixture := newTestFleet(replicas, models, dataPlanes, func(replica int) int { return replica % 6 })
		fixture.matcher.Wake()
		requests := make([]*Request, 16)
		for b.Loop() {
			for row := range requests {
				requests[row] = fixture.request()
				requests[row].Model, requests[row].Decided = "", make(chan Decision, 1)
			}
			fixture.matcher.assign(requests, fixture.now)
			for _, request := range requests {
				fixture.matcher.HandleReport(Report{Ticket: (<-request.Decided).Ticket, Outcome: OutcomeServed, At: fixture.now})
			}
		}
	})
}

// waitingMatcher returns a matcher with the given number of waiting requests, all of whose replicas are full.
func waitingMatcher(replicas, models, dataPlanes, waiting int) *testFleet {
	fixture := newTestFleet(replicas, models, dataPlanes, func(int) int { return fixtureSlots })
	for range waiting {
		fixture.matcher.Enqueue(fixture.request())
	}
	fixture.matcher.Wake()
	return fixture
}

func BenchmarkMatcher_SixteenWaiting(b *testing.B) { benchmarkWaiting(b, 16) }
func BenchmarkMatcher_HundredWaiting(b *testing.B) { benchmarkWaiting(b, 100) }

func benchmarkWaiting(b *testing.B, waiting int) {
	atSizes(b, func(b *testing.B, replicas, models, dataPlanes int) {
		fixture := waitingMatcher(replicas, models, dataPlanes, waiting)
		for b.Loop() {
			fixture.matcher.decideWaiting()
		}
		if len(fixture.matcher.queue.requests) != waiting {
			b.Fatal("requests left the queue")
		}
	})
}

func BenchmarkMatcher_RetryWithHundredWaiting(b *testing.B) {
	atSizes(b, func(b *testing.B, replicas, models, dataPlanes int) {
		fixture := waitingMatcher(replicas, models, dataPlanes, 100)
		request := fixture.request()
		for b.Loop() {
			state := fixture.matcher.replicas.watch("i-0")
			state.running++
			fixture.matcher.HandleReport(Report{
				Ticket:  &Ticket{request: request, replica: "i-0"},
				Outcome: OutcomeServed,
				At:      fixture.now,
			})
		}
	})
}

func BenchmarkMatcher_CollectLoad(b *testing.B) {
	atSizes(b, func(b *testing.B, replicas, models, dataPlanes int) {
		fixture := newTestFleet(replicas, models, dataPlanes, func(replica int) int { return replica % 6 })
		for range 500 {
			request := fixture.request()
			fixture.matcher.Enqueue(request)
			ticket := (<-request.Decided).Ticket
			if fixture.number > 490 {
				continue
			}
			fixture.matcher.HandleReport(Report{Ticket: ticket, Outcome: OutcomeServed, At: fixture.now})
		}
		for b.Loop() {
			fixture.matcher.collectLoad()
		}
	})
}

func BenchmarkMatcher_NewSnapshot(b *testing.B) {
	atSizes(b, func(b *testing.B, replicas, models, dataPlanes int) {
		fixture := newTestFleet(replicas, models, dataPlanes, func(replica int) int { return replica % 6 })
		replicasListed := fixture.snapshot.Load().Replicas
		for b.Loop() {
			fleet := *fixture.snapshot.Load()
			fleet.Replicas = append([]*Replica(nil), replicasListed...)
			fixture.snapshot.Store(&fleet)
			fixture.matcher.Wake()
		}
	})
}
