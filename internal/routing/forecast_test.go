package routing

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
)

// simulatedFleet is a matcher with a random fleet in three zones, with requests that start and end over
// simulated time.
type simulatedFleet struct {
	now      time.Time
	snapshot atomic.Pointer[Snapshot]
	matcher  *Matcher
	requests []*Request
	running  []Decision
	random   *rand.Rand
}

var zoneRegions = map[string]string{"east": "land", "west": "land", "isle": "sea"}

// isleLoss is the loss of the zone isle, the only one of its region.
var isleLoss = drill.Loss{Scope: drill.Scope{Zone: "isle"}, Regions: zoneRegions}

func newSimulatedFleet(seed uint64, replicas int) *simulatedFleet {
	simulated := &simulatedFleet{now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 7))}
	runtime := &configuration.Runtime{Slots: 4, KvCacheTokens: 20000}
	routes := []configuration.Route{{Name: "quick"}, {Name: "patient"}}
	fleet := &Snapshot{
		Table: configuration.NewTable(configuration.Configuration{
			Routes:   routes,
			Backends: []configuration.Backend{{Name: "s", Runtime: runtime}},
		}, nil),
		DataPlaneCount: 1,
		ListedAt:       simulated.now,
		PeerLoadsAt:    simulated.now.Add(time.Hour),
	}
	zones := []string{"east", "west", "isle"}
	for index := range replicas {
		models := []discovery.LoadedModel{
			{Name: fmt.Sprint("m", simulated.random.IntN(3))},
			{Name: fmt.Sprint("m", 3+simulated.random.IntN(3))},
		}
		zone := zones[index%3]
		replica := NewReplica(index, discovery.Replica{
			ID:      fmt.Sprint("r", index),
			Backend: "s",
			Zone:    zone,
			Slots:   4,
			Models:  models,
		}, simulated.now, nil)
		replica.Region = zoneRegions[zone]
		fleet.Replicas = append(fleet.Replicas, replica)
	}
	simulated.snapshot.Store(fleet)
	simulated.matcher = NewMatcher(DefaultParameters(), "east", func() time.Time { return simulated.now }, &simulated.snapshot)
	for number := range 16 * replicas {
		simulated.step(number)
	}
	return simulated
}

// step starts one request and ends some of the running ones.
func (f *simulatedFleet) step(number int) {
	quick := f.random.IntN(3) > 0
	parts := []PromptPart{{1, 200}, {uint64(10 + f.random.IntN(20)), 400}, {uint64(1000 + number), 100}}
	request := &Request{
		AttemptID:     fmt.Sprintf("a%05d", number),
		Backend:       "s",
		Model:         fmt.Sprint("m", f.random.IntN(6)),
		Parts:         parts,
		PrefixHashes:  HashPrefixes(parts),
		PromptTokens:  700,
		OutputTokens:  50,
		ArrivedAt:     f.now,
		Deadline:      f.now.Add(20 * time.Second),
		LatencyTarget: 400 * time.Millisecond,
		Priority:      1,
		Route:         "quick",
	}
	if !quick {
		request.Route, request.LatencyTarget, request.Priority, request.Idempotent = "patient", 8*time.Second, 0, true
	}
	if f.random.IntN(10) == 0 {
		request.AllowedRegions = []string{"sea"}
	}
	f.matcher.Enqueue(request)
	f.requests = append(f.requests, request)
	f.collectDecisions()
	f.now = f.now.Add(time.Duration(5+f.random.IntN(20)) * time.Millisecond)
	for len(f.running) > 0 && f.random.IntN(2) == 0 {
		index := f.random.IntN(len(f.running))
		ticket := f.running[index].Ticket
		f.matcher.HandleReport(Report{ticket, OutcomeFirstEvent, f.now})
		f.matcher.HandleReport(Report{ticket, OutcomeServed, f.now})
		f.running = append(f.running[:index], f.running[index+1:]...)
		f.collectDecisions()
	}
}

// collectDecisions receives all decisions that were made.
func (f *simulatedFleet) collectDecisions() {
	for _, request := range f.requests {
		select {
		case decision := <-request.Decided:
			if decision.Ticket != nil {
				f.running = append(f.running, decision)
			}
		default:
		}
	}
}

// loseZone removes the zone isle from the fleet and returns how many requests were moved to each replica.
func (f *simulatedFleet) loseZone() map[string]int {
	lost, _ := f.snapshot.Load().without(isleLoss.Covers)
	var displaced []*Request
	waiting := f.matcher.queue.requests
	f.matcher.queue.requests = nil
	before := map[string]int{}
	for _, decision := range f.running {
		before[decision.Replica.ID]++
		if decision.Replica.Zone == "isle" {
			displaced = append(displaced, decision.Ticket.request.clone())
			f.matcher.handleReport(Report{decision.Ticket, OutcomeTruncated, f.now})
		}
	}
	f.snapshot.Store(lost)
	f.matcher.useLatestSnapshot()
	for _, request := range displaced {
		request.Decided, request.decided = make(chan Decision, 1), false
	}
	f.matcher.queue.requests = append(displaced, waiting...)
	f.matcher.decideWaiting()
	moved := map[string]int{}
	for id, state := range f.matcher.replicas.states {
		if added := state.running - before[id]; added > 0 {
			moved[id] = added
		}
	}
	return moved
}

// actualCounts assigns each sampled request alone, after the loss, and counts the results.
func (f *simulatedFleet) actualCounts(sample []*Request) drill.RouteCounts {
	var counts drill.RouteCounts
	for _, sampled := range sample {
		counts.Sampled++
		request := sampled.clone()
		if sampled.wasSent {
			request.PrefixHashes = request.PrefixHashes[:sampled.cachedParts]
			request.Parts = request.Parts[:sampled.cachedParts]
		}
		request.ArrivedAt, request.Deadline, request.Decided = f.now, f.now.Add(20*time.Second), make(chan Decision, 1)
		fork := f.matcher.fork(f.now, f.matcher.ledger.forkOrdered())
		fork.queue.requests, request.decided = []*Request{request}, false
		fork.decideWaiting()
		select {
		case decision := <-request.Decided:
			if decision.Ticket != nil {
				counts.Late += lateCount(scoredPair{predictedMs: decision.Ticket.predictedMs}, request)
				counts.NotMoved++
			}
		default:
			switch {
			case request.modelNotLoaded && isleLoss.LosesAllRegions(request.AllowedRegions):
				counts.AllRegionsLost++
			case request.modelNotLoaded:
				counts.ModelNotLoaded++
			default:
				counts.Waiting++
			}
		}
	}
	return counts
}

func TestMatcher_ForecastEqualsActualZoneLoss(t *testing.T) {
	var seen drill.RouteCounts
	for _, replicas := range []int{3, 6, 12} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("replicas=%d,seed=%d", replicas, seed), func(t *testing.T) {
				for _, route := range checkForecast(t, newSimulatedFleet(seed, replicas)).Routes {
					seen.Add(route.RouteCounts)
				}
			})
		}
	}
	assert.Assert(t, seen.Moved > 0 && seen.Waiting > 0 && seen.ModelNotLoaded > 0, "not every result occurred: %+v", seen)
	assert.Assert(t, seen.AllRegionsLost > 0 && seen.Late > seen.LateNow, "not every result occurred: %+v", seen)
}

// checkForecast compares all counts of a forecast with those after the actual loss of the zone.
func checkForecast(t *testing.T, simulated *simulatedFleet) drill.ForecastResponse {
	t.Helper()
	matcher := simulated.matcher
	answer := matcher.fork(simulated.now, matcher.ledger.fork()).forecast(isleLoss, simulated.now)
	cachedBefore := matcher.ledger.cachedTokensByModel(map[string]*Replica{})
	sample := matcher.ledger.fork().samples.routes
	moved := simulated.loseZone()
	for id, load := range answer.Replicas {
		assert.Equal(t, load.Moved, moved[id], id)
	}
	for _, route := range answer.Routes {
		actual := simulated.actualCounts(sample[route.Name].requests)
		assert.Equal(t, route.NotMoved+route.Moved, actual.NotMoved, route.Name)
		assert.Equal(t, route.ModelNotLoaded, actual.ModelNotLoaded)
		assert.Equal(t, route.Waiting, actual.Waiting)
		assert.Equal(t, route.AllRegionsLost, actual.AllRegionsLost)
		assert.Equal(t, route.Late, actual.Late)
	}
	for model, cached := range answer.Cached {
		remaining := 0.0
		for key, entry := range matcher.ledger.entries {
			if key.model == model && matcher.snapshot.contains(key.replica) {
				remaining += entry.tokens
			}
		}
		assert.Equal(t, cachedBefore[model].Kept, cached.Lost+cached.Kept)
		assert.Assert(t, remaining >= cached.Kept, "%s: %f of %f", model, remaining, cached.Kept)
	}
	return answer
}

func (s *Snapshot) contains(id string) bool {
	for _, replica := range s.Replicas {
		if replica.ID == id {
			return true
		}
	}
	return false
}

func newRandom(seed uint64, step int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(step))) }
