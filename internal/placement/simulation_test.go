package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// simulatedSlots is the slots of each server.
const simulatedSlots = 24

// simulatedRequest waits for a model, then runs at a server.
type simulatedRequest struct {
	reference string
	arrivedAt time.Time
	server    *simulatedServer
	endsAt    time.Time
}

// simulatedServer is a server with the action under way there.
type simulatedServer struct {
	server  *Server
	action  *Action
	endsAt  time.Time
	running int
}

// simulationSetup is a fleet with its requests: their rate, the skew of their models (Zipf), their aim and
// time at a server in seconds, and the store's rate.
type simulationSetup struct {
	fleetShape
	perS, zipf, latencyTargetS, serviceS, loadsPerS float64
}

// outcome counts requests by how they ended, and loads by their source.
type outcome struct{ requests, inTime, late, lost, stored, disk, loads int }

// simulation plays requests and loads against the planner.
type simulation struct {
	simulationSetup
	view       *View
	servers    []*simulatedServer
	shares     []float64
	waiting    []*simulatedRequest
	running    []*simulatedRequest
	storeLoads []time.Time
	random     *rand.Rand
	outcome    outcome
	counts     map[string]int
}

func newSimulation(t simulationSetup, seed uint64) *simulation {
	view := t.view(seed)
	s := &simulation{simulationSetup: t, view: view, random: rand.New(rand.NewPCG(seed, 29)), counts: map[string]int{}}
	runtime := view.Table.Configuration.Backends[0].Runtime
	runtime.Slots = simulatedSlots
	runtime.LoadsPerS = t.loadsPerS
	clear(view.Demand)
	for _, server := range view.Servers {
		server.Ready = true
		s.servers = append(s.servers, &simulatedServer{server: server})
	}
	total := 0.0
	for index := range t.models {
		total += math.Pow(float64(index+1), -t.zipf)
		s.shares = append(s.shares, total)
	}
	for index := range s.shares {
		s.shares[index] /= total
	}
	return s
}

// before reports whether a server is to be preferred: it runs less, or its id is lower.
func (s *simulatedServer) isPreferredTo(other *simulatedServer) bool {
	return s.running < other.running || s.running == other.running && s.server.ID < other.server.ID
}

// arrive adds the requests of a step.
func (s *simulation) addRequests(step time.Duration) {
	amount := s.perS * step.Seconds()
	for amount > s.random.Float64() {
		amount--
		pick, model := s.random.Float64(), 0
		for s.shares[model] < pick {
			model++
		}
		requested := s.view.Table.Configuration.Backends[0].Runtime.Models[model]
		reference := requested.Name
		if requested.Adapters > 0 && s.random.IntN(4) > 0 {
			share := s.random.Float64()
			reference = Reference(reference, adapterNames(requested)[int(share*share*float64(requested.Adapters))])
		}
		s.waiting = append(s.waiting, &simulatedRequest{reference: reference, arrivedAt: s.view.Now})
		s.counts[reference]++
		s.outcome.requests++
	}
}

// serve ends requests, and starts those that find a slot.
func (s *simulation) serveRequests() {
	now := s.view.Now
	running := s.running[:0]
	for _, server := range s.running {
		if now.Before(server.endsAt) {
			running = append(running, server)
		} else {
			server.server.running--
		}
	}
	s.running = running
	hosts := map[string][]*simulatedServer{}
	for _, server := range s.servers {
		for reference := range server.server.Loaded {
			base, _ := splitReference(reference)
			if server.action == nil || server.action.Load || server.action.Model != reference && server.action.Model != base {
				hosts[reference] = append(hosts[reference], server)
			}
		}
	}
	waiting := s.waiting[:0]
	for _, server := range s.waiting {
		var best *simulatedServer
		for _, host := range hosts[server.reference] {
			if host.running < simulatedSlots && (best == nil || host.isPreferredTo(best)) {
				best = host
			}
		}
		hasWaiting := now.Sub(server.arrivedAt).Seconds()
		switch {
		case best != nil:
			best.running++
			server.server, server.endsAt = best, now.Add(time.Duration(s.serviceS*(0.5+s.random.Float64())*float64(time.Second)))
			s.running = append(s.running, server)
			if hasWaiting <= s.latencyTargetS {
				s.outcome.inTime++
			} else {
				s.outcome.late++
			}
		case hasWaiting > 3*s.latencyTargetS:
			s.outcome.lost++
		default:
			waiting = append(waiting, server)
		}
	}
	s.waiting = waiting
}

func (s *simulation) number(reference string) int {
	base, _ := splitReference(reference)
	var number int
	_, _ = fmt.Sscanf(base, "m%d", &number)
	return number
}

// updateDemand sets the view's demand, as the control plane does.
func (s *simulation) updateDemand(step time.Duration) {
	now := s.view.Now
	for _, server := range s.view.Demand {
		server.Waiting, server.OldestWaitMs, server.Running = 0, 0, 0
	}
	of := func(reference string) *Demand {
		name := ModelKey("s", reference)
		if s.view.Demand[name] == nil {
			s.view.Demand[name] = &Demand{LatencyTargetMs: s.latencyTargetS * 1000}
		}
		return s.view.Demand[name]
	}
	for _, server := range s.waiting {
		demand := of(server.reference)
		demand.Waiting++
		demand.OldestWaitMs = max(demand.OldestWaitMs, float64(now.Sub(server.arrivedAt).Milliseconds()))
		demand.LastSeen = now
	}
	for _, server := range s.running {
		of(server.reference).Running++
	}
	for reference := range s.counts {
		of(reference).LastSeen = now
	}
	for name, demand := range s.view.Demand {
		updateRates(demand, float64(s.counts[name[2:]])/step.Seconds(), step)
	}
	clear(s.counts)
}

func updateRates(demand *Demand, rate float64, step time.Duration) {
	demand.Rate += step.Seconds() / 8 * (rate - demand.Rate)
	demand.LongTermRate += step.Seconds() / 120 * (rate - demand.LongTermRate)
	if demand.Rate < 0.003 {
		demand.Rate = 0
	}
}
