package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
)

// simulatedOrder is an order in progress. It is carried out at step doneAt or never, and the planner learns its outcome at
// step knownAt. Until then the replica is busy or, if the order is uncertain, may get new orders.
type simulatedOrder struct {
	action      Action
	doneAt      int // step, or neverDone
	knownAt     int
	isUncertain bool
	isDone      bool
	plannedSize float64 // MB
}

const neverDone = -1

// simulatedReplica is a replica with what it has actually loaded. Each reference has the largest size that a configuration
// gave it while it was loaded.
type simulatedReplica struct {
	server *Server
	loaded map[string]float64 // MB by reference
	orders []*simulatedOrder
}

// orderSimulation runs the planner against configuration changes and orders of unknown outcome.
type orderSimulation struct {
	t        *testing.T
	note     string
	random   *rand.Rand
	view     *View
	replicas []*simulatedReplica
	models   []configuration.Model // of all configurations
}

func newOrderSimulation(t *testing.T, seed uint64) *orderSimulation {
	s := &orderSimulation{t: t, note: fmt.Sprintf("seed %d", seed), random: rand.New(rand.NewPCG(seed, 41))}
	s.view = smallView()
	s.view.SizeHistory = NewSizeHistory()
	for index := range 3 + s.random.IntN(4) {
		server := newServer(fmt.Sprintf("r%d", index))
		s.replicas = append(s.replicas, &simulatedReplica{server: server, loaded: map[string]float64{}})
		s.view.Servers = append(s.view.Servers, server)
	}
	for index := range 4 + s.random.IntN(8) {
		model := modelOfSize(fmt.Sprintf("m%d", index), 0)
		s.models = append(s.models, model)
	}
	s.configure(false)
	for _, replica := range s.replicas {
		if s.random.IntN(2) == 0 {
			replica.loaded["before"], replica.loaded["before/a1"] = 30, 1 // from a configuration that the planner has never seen
		}
	}
	return s
}

// configure replaces the configuration. The last one names all models and has ample memory.
func (s *orderSimulation) configure(last bool) {
	var models []configuration.Model
	for index := range s.models {
		s.models[index].WeightSizeMb = 20 + float64(s.random.IntN(600))/10
		s.models[index].AdapterSizeMb = float64(s.random.IntN(30)) / 10
		if last || s.random.IntN(3) > 0 {
			models = append(models, s.models[index])
		}
	}
	memory, capacity := 60+float64(s.random.IntN(1000))/10, s.random.IntN(4)
	if last {
		memory, capacity = 200, 3
	}
	s.view.setCapacity(memory, capacity, models...)
	for _, replica := range s.replicas {
		for reference := range replica.loaded {
			size, _ := configuredSize(s.runtime(), reference)
			replica.loaded[reference] = max(replica.loaded[reference], size)
		}
	}
}

func (s *orderSimulation) runtime() *configuration.Runtime {
	return s.view.Table.Configuration.Backends[0].Runtime
}

// updateDemand sets the demand: requests wait for references that no replica certainly has loaded, and run on the others.
func (s *orderSimulation) updateDemand(references []string) {
	clear(s.view.Demand)
	for _, reference := range references {
		demand := &Demand{Rate: 0.5, LastRequestAt: s.view.Now, Running: 1}
		if !s.isLoaded(reference) {
			demand.Waiting, demand.OldestWaitMs, demand.Running = 1, 50, 0
		}
		s.view.Demand[ModelKey("s", reference)] = demand
	}
}

func (s *orderSimulation) isLoaded(reference string) bool {
	for _, replica := range s.replicas {
		if replica.server.Loaded[reference] {
			return true
		}
	}
	return false
}

// step carries out the orders that are due, updates the view by what the planner may know, and orders what it plans.
func (s *orderSimulation) step(step int, references []string, withFaults bool) {
	s.view.Now = s.view.Now.Add(100 * time.Millisecond)
	clear(s.view.Loading)
	for _, replica := range s.replicas {
		replica.advance(step, s.runtime())
		replica.updateView(s.view.Loading)
	}
	s.updateDemand(references)
	s.view.StoreTokens = float64(s.random.IntN(3))
	for _, action := range Plan(s.view) {
		for _, replica := range s.replicas {
			if replica.server.ID == action.Server {
				s.checkLoad(replica, action)
				replica.orders = append(replica.orders, s.scheduleOrder(action, step, withFaults))
			}
		}
	}
}

// scheduleOrder returns the order of an action, with a random outcome.
func (s *orderSimulation) scheduleOrder(action Action, step int, withFaults bool) *simulatedOrder {
	size, _ := configuredSize(s.runtime(), action.Model)
	order := &simulatedOrder{action: action, doneAt: step + 1 + s.random.IntN(4), plannedSize: size}
	order.knownAt = order.doneAt
	if withFaults && s.random.IntN(3) == 0 {
		order.isUncertain = true
		order.knownAt += s.random.IntN(12)
		if s.random.IntN(3) == 0 {
			order.doneAt = neverDone
		}
	}
	return order
}

// checkLoad checks that a load fits even if all orders of unknown outcome are carried out.
func (s *orderSimulation) checkLoad(replica *simulatedReplica, action Action) {
	if !action.Load {
		assert.Assert(s.t, replica.server.Loaded[action.Model], "%s: %v", s.note, action)
		return
	}
	worst := map[string]float64{}
	for reference, size := range replica.loaded {
		worst[reference] = size
	}
	for _, order := range replica.orders {
		if order.action.Load && !order.isDone {
			worst[order.action.Model] = max(worst[order.action.Model], order.plannedSize)
		}
	}
	if size, known := configuredSize(s.runtime(), action.Model); known {
		worst[action.Model] = max(worst[action.Model], size)
	}
	total, adapters := 0.0, 0
	for reference, size := range worst {
		total += size
		if strings.Contains(reference, "/") {
			adapters++
		}
	}
	runtime := s.runtime()
	assert.Assert(s.t, total <= runtime.WeightSizeMb+1e-9, "%s: %v beside %v", s.note, action, worst)
	if model, adapter := SplitReference(action.Model); adapter != "" {
		assert.Assert(s.t, adapters <= runtime.AdapterCapacity, "%s: %v beside %v", s.note, action, worst)
		assert.Assert(s.t, replica.server.Loaded[model], "%s: %v", s.note, action)
	}
}

func TestPlan_SafeUnderUncertainOrders(t *testing.T) {
	for seed := range uint64(400) {
		s := newOrderSimulation(t, seed)
		var requested []string
		for step := range 200 {
			if step%20 == 0 {
				requested = s.randomReferences()
			}
			if s.random.IntN(15) == 0 {
				s.configure(false)
			}
			s.step(step, requested, true)
		}
		s.configure(true)
		finalReferences := []string{"m0", "m1", "m1/a1", "m2", "m2/a2"}
		for step := 200; step < 500 && !s.areLoaded(finalReferences); step++ {
			s.step(step, finalReferences, step < 250)
		}
		assert.Assert(t, s.areLoaded(finalReferences), s.describe())
		assert.Assert(t, s.isSizeHistoryBounded(), s.note)
	}
}

func (s *orderSimulation) areLoaded(references []string) bool {
	for _, reference := range references {
		if !s.isLoaded(reference) {
			return false
		}
	}
	return true
}

func (s *orderSimulation) randomReferences() []string {
	var references []string
	for _, model := range s.models {
		if s.random.IntN(2) == 0 {
			references = append(references, model.Name, Reference(model.Name, fmt.Sprintf("a%d", 1+s.random.IntN(3))))
		}
	}
	return references
}

// isSizeHistoryBounded reports whether the size history contains only items that are or may be loaded.
func (s *orderSimulation) isSizeHistoryBounded() bool {
	s.view.SizeHistory.forgetUnloaded(s.view.Servers)
	for _, replica := range s.replicas {
		for reference := range s.view.SizeHistory.sizesAt(replica.server.ID) {
			if !replica.server.Loaded[reference] && !replica.server.MaybeLoaded[reference] {
				return false
			}
		}
	}
	return true
}
