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

// worldOrder is an order in progress. Its outcome is one of several: done at once or late, or never done. The
// planner learns it at a later step; until then the replica is busy or, where unclear, may have new orders.
type worldOrder struct {
	action      Action
	doneAt      int // step, neverDone for none
	knownAt     int
	isUncertain bool
	isDone      bool
	plannedSize float64 // MB
}

const neverDone = -1

// worldReplica is what a replica has actually loaded. Each reference counts with the largest size that a
// configuration gave it while it was loaded.
type worldReplica struct {
	server *Server
	loaded map[string]float64 // MB by reference
	orders []*worldOrder
}

// world plays configurations and orders of unknown outcome against the planner.
type world struct {
	t        *testing.T
	note     string
	random   *rand.Rand
	view     *View
	replicas []*worldReplica
	models   []configuration.Model // all there ever were
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, note: fmt.Sprintf("seed %d", seed), random: rand.New(rand.NewPCG(seed, 41))}
	w.view = smallView()
	w.view.SizeHistory = NewSizeHistory()
	for index := range 3 + w.random.IntN(4) {
		server := newServer(fmt.Sprintf("r%d", index))
		w.replicas = append(w.replicas, &worldReplica{server: server, loaded: map[string]float64{}})
		w.view.Servers = append(w.view.Servers, server)
	}
	for index := range 4 + w.random.IntN(8) {
		model := modelOfSize(fmt.Sprintf("m%d", index), 0)
		w.models = append(w.models, model)
	}
	w.configure(false)
	for _, replica := range w.replicas {
		if w.random.IntN(2) == 0 {
			replica.loaded["before"], replica.loaded["before/a1"] = 30, 1 // of a configuration nobody saw
		}
	}
	return w
}

// configure puts the next configuration in force: the last one names all models and has ample memory.
func (w *world) configure(last bool) {
	var models []configuration.Model
	for index := range w.models {
		w.models[index].WeightSizeMb = 20 + float64(w.random.IntN(600))/10
		w.models[index].AdapterSizeMb = float64(w.random.IntN(30)) / 10
		if last || w.random.IntN(3) > 0 {
			models = append(models, w.models[index])
		}
	}
	memory, capacity := 60+float64(w.random.IntN(1000))/10, w.random.IntN(4)
	if last {
		memory, capacity = 200, 3
	}
	w.view.setCapacity(memory, capacity, models...)
	for _, replica := range w.replicas {
		for reference := range replica.loaded {
			size, _ := configuredSize(w.runtime(), reference)
			replica.loaded[reference] = max(replica.loaded[reference], size)
		}
	}
}

func (w *world) runtime() *configuration.Runtime {
	return w.view.Table.Configuration.Backends[0].Runtime
}

// setDemand has requests wait for references that no replica certainly has loaded, and run on the others.
func (w *world) setDemand(references []string) {
	clear(w.view.Demand)
	for _, reference := range references {
		demand := &Demand{Rate: 0.5, LastRequestAt: w.view.Now, Running: 1}
		if !w.isLoaded(reference) {
			demand.Waiting, demand.OldestWaitMs, demand.Running = 1, 50, 0
		}
		w.view.Demand[ModelKey("s", reference)] = demand
	}
}

func (w *world) isLoaded(reference string) bool {
	for _, replica := range w.replicas {
		if replica.server.Loaded[reference] {
			return true
		}
	}
	return false
}

// step ends orders, shows the planner what it may know, and sends what it plans.
func (w *world) step(step int, references []string, withFaults bool) {
	w.view.Now = w.view.Now.Add(100 * time.Millisecond)
	clear(w.view.Loading)
	for _, replica := range w.replicas {
		replica.advance(step, w.runtime())
		replica.updateView(w.view.Loading)
	}
	w.setDemand(references)
	w.view.StoreTokens = float64(w.random.IntN(3))
	for _, action := range Plan(w.view) {
		for _, replica := range w.replicas {
			if replica.server.ID == action.Server {
				w.checkLoad(replica, action)
				replica.orders = append(replica.orders, w.scheduleOrder(action, step, withFaults))
			}
		}
	}
}

// scheduleOrder draws the outcome of an action.
func (w *world) scheduleOrder(action Action, step int, withFaults bool) *worldOrder {
	size, _ := configuredSize(w.runtime(), action.Model)
	order := &worldOrder{action: action, doneAt: step + 1 + w.random.IntN(4), plannedSize: size}
	order.knownAt = order.doneAt
	if withFaults && w.random.IntN(3) == 0 {
		order.isUncertain = true
		order.knownAt += w.random.IntN(12)
		if w.random.IntN(3) == 0 {
			order.doneAt = neverDone
		}
	}
	return order
}

// checkLoad checks a load assuming that all orders of unknown outcome are carried out.
func (w *world) checkLoad(replica *worldReplica, action Action) {
	if !action.Load {
		assert.Assert(w.t, replica.server.Loaded[action.Model], "%s: %v", w.note, action)
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
	if size, known := configuredSize(w.runtime(), action.Model); known {
		worst[action.Model] = max(worst[action.Model], size)
	}
	total, adapters := 0.0, 0
	for reference, size := range worst {
		total += size
		if strings.Contains(reference, "/") {
			adapters++
		}
	}
	runtime := w.runtime()
	assert.Assert(w.t, total <= runtime.WeightSizeMb+1e-9, "%s: %v beside %v", w.note, action, worst)
	if model, adapter := SplitReference(action.Model); adapter != "" {
		assert.Assert(w.t, adapters <= runtime.AdapterCapacity, "%s: %v beside %v", w.note, action, worst)
		assert.Assert(w.t, replica.server.Loaded[model], "%s: %v", w.note, action)
	}
}

func TestPlan_SafeUnderUncertainOrders(t *testing.T) {
	for seed := range uint64(400) {
		w := newWorld(t, seed)
		var requested []string
		for step := range 200 {
			if step%20 == 0 {
				requested = w.randomReferences()
			}
			if w.random.IntN(15) == 0 {
				w.configure(false)
			}
			w.step(step, requested, true)
		}
		w.configure(true)
		finalReferences := []string{"m0", "m1", "m1/a1", "m2", "m2/a2"}
		for step := 200; step < 500 && !w.areLoaded(finalReferences); step++ {
			w.step(step, finalReferences, step < 250)
		}
		assert.Assert(t, w.areLoaded(finalReferences), w.describe())
		assert.Assert(t, w.sizeHistoryIsBounded(), w.note)
	}
}

func (w *world) areLoaded(references []string) bool {
	for _, reference := range references {
		if !w.isLoaded(reference) {
			return false
		}
	}
	return true
}

func (w *world) randomReferences() []string {
	var references []string
	for _, model := range w.models {
		if w.random.IntN(2) == 0 {
			references = append(references, model.Name, Reference(model.Name, fmt.Sprintf("a%d", 1+w.random.IntN(3))))
		}
	}
	return references
}

// sizeHistoryIsBounded reports whether the history names only what is or may be loaded.
func (w *world) sizeHistoryIsBounded() bool {
	w.view.SizeHistory.forgetUnloaded(w.view.Servers)
	for _, replica := range w.replicas {
		for reference := range w.view.SizeHistory.sizesAt(replica.server.ID) {
			if !replica.server.Loaded[reference] && !replica.server.MaybeLoaded[reference] {
				return false
			}
		}
	}
	return true
}
