package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ferryspar/internal/peer"
)

// simulatedSlots is the number of slots of each server.
const simulatedSlots = 24

// simulatedRequest is a request that waits for a model or adapter and then runs at a server.
type simulatedRequest struct {
	reference string
	arrivedAt time.Time
	server    *simulatedServer
	endsAt    time.Time
}

// simulatedServer is a server with its action in progress and its number of running requests.
type simulatedServer struct {
	server  *Server
	action  *Action
	endsAt  time.Time
	running int
}

// simulationSetup describes a fleet and its load: the rate of requests, the Zipf exponent of their models, their latency
// target and service time in seconds, and the rate of the model store.
type simulationSetup struct {
	fleetShape
	requestsPerS, zipfExponent, latencyTargetS, serviceS, loadsPerS float64
}

// outcome counts requests by their result, and loads by their source.
type outcome struct{ requests, inTime, late, lost, storeLoads, diskLoads, loads int }

// simulation runs the planner against simulated requests and loads.
type simulation struct {
	simulationSetup
	view           *View
	servers        []*simulatedServer
	shares         []float64
	waiting        []*simulatedRequest
	running        []*simulatedRequest
	storeLoadTimes []time.Time
	random         *rand.Rand
	outcome        outcome
	counts         map[string]int
}

func newSimulation(setup simulationSetup, seed uint64) *simulation {
	view := setup.view(seed)
	s := &simulation{
		simulationSetup: setup,
		view:            view,
		random:          rand.New(rand.NewPCG(seed, 29)),
		counts:          map[string]int{},
	}
	runtime := view.Table.Configuration.Backends[0].Runtime
	runtime.Slots = simulatedSlots
	runtime.LoadsPerS = setup.loadsPerS
	clear(view.Demand)
	for _, server := range view.Servers {
		server.Ready = true
		s.servers = append(s.servers, &simulatedServer{server: server})
	}
	total := 0.0
	for index := range setup.models {
		total += math.Pow(float64(index+1), -setup.zipfExponent)
		s.shares = append(s.shares, total)
	}
	for index := range s.shares {
		s.shares[index] /= total
	}
	return s
}

// isPreferredTo reports whether a server is preferred to another one: it runs fewer requests or, if equal, has the lower id.
func (s *simulatedServer) isPreferredTo(other *simulatedServer) bool {
	return s.running < other.running || s.running == other.running && s.server.ID < other.server.ID
}

// addRequests adds the requests that arrive in a step.
func (s *simulation) addRequests(step time.Duration) {
	amount := s.requestsPerS * step.Seconds()
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

// serveRequests ends the requests that are due, and starts waiting ones for which a host has a free slot.
func (s *simulation) serveRequests() {
	s.endRequests()
	hosts := s.hostsByReference()
	waiting := s.waiting[:0]
	for _, request := range s.waiting {
		if !s.startRequest(request, hosts[request.reference]) {
			waiting = append(waiting, request)
		}
	}
	s.waiting = waiting
}

func (s *simulation) endRequests() {
	running := s.running[:0]
	for _, request := range s.running {
		if s.view.Now.Before(request.endsAt) {
			running = append(running, request)
		} else {
			request.server.running--
		}
	}
	s.running = running
}

// hostsByReference returns the servers that can serve each reference now.
func (s *simulation) hostsByReference() map[string][]*simulatedServer {
	hosts := map[string][]*simulatedServer{}
	for _, server := range s.servers {
		for reference := range server.server.Loaded {
			if !server.isUnloading(reference) {
				hosts[reference] = append(hosts[reference], server)
			}
		}
	}
	return hosts
}

// isUnloading reports whether a reference, or its model, is being unloaded.
func (s *simulatedServer) isUnloading(reference string) bool {
	base, _ := SplitReference(reference)
	return s.action != nil && !s.action.Load && (s.action.Model == reference || s.action.Model == base)
}

// startRequest starts a request at the best of the hosts, or counts it as lost if it has waited for too long, and reports
// whether it did either.
func (s *simulation) startRequest(request *simulatedRequest, hosts []*simulatedServer) bool {
	var best *simulatedServer
	for _, host := range hosts {
		if host.running < simulatedSlots && (best == nil || host.isPreferredTo(best)) {
			best = host
		}
	}
	waitedS := s.view.Now.Sub(request.arrivedAt).Seconds()
	if best == nil {
		isLost := waitedS > 3*s.latencyTargetS
		if isLost {
			s.outcome.lost++
		}
		return isLost
	}
	best.running++
	request.server = best
	service := time.Duration(s.serviceS * (0.5 + s.random.Float64()) * float64(time.Second))
	request.endsAt = s.view.Now.Add(service)
	s.running = append(s.running, request)
	if waitedS <= s.latencyTargetS {
		s.outcome.inTime++
	} else {
		s.outcome.late++
	}
	return true
}

func (s *simulation) modelNumber(reference string) int {
	base, _ := SplitReference(reference)
	var number int
	_, _ = fmt.Sscanf(base, "m%d", &number)
	return number
}

// updateDemand updates the view's demand as the control plane does.
func (s *simulation) updateDemand(step time.Duration) {
	now := s.view.Now
	for _, demand := range s.view.Demand {
		demand.Waiting, demand.OldestWaitMs, demand.LoadDueMs, demand.Running = 0, 0, 0, 0
	}
	demandOf := func(reference string) *Demand {
		name := ModelKey("s", reference)
		if s.view.Demand[name] == nil {
			s.view.Demand[name] = &Demand{}
		}
		return s.view.Demand[name]
	}
	for _, request := range s.waiting {
		demand := demandOf(request.reference)
		demand.Waiting++
		demand.OldestWaitMs = max(demand.OldestWaitMs, float64(now.Sub(request.arrivedAt).Milliseconds()))
		demand.LastRequestAt = now
		dueMs := 3*s.latencyTargetS*1000 - float64(now.Sub(request.arrivedAt).Milliseconds())
		name := fmt.Sprintf("m%d", s.modelNumber(request.reference))
		if model, found := s.view.Table.Model(0, name); found && dueMs >= model.LoadTimeS*1000 {
			demand.LoadDueMs = peer.EarlierLoadDue(demand.LoadDueMs, dueMs)
		}
	}
	for _, request := range s.running {
		demandOf(request.reference).Running++
	}
	for reference := range s.counts {
		demandOf(reference).LastRequestAt = now
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
