package place

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
)

// worldOrder is an order on its way. Its fate is one of several: done at once or late, or never done. The
// planner learns it at a later step; until then the replica is busy or, where unclear, may have new orders.
type worldOrder struct {
	action      Action
	doneAt      int // step, neverDone for none
	knownAt     int
	unclear     bool
	done        bool
	plannedSize float64 // MB
}

const neverDone = -1

// worldReplica is what a replica truly holds. Each reference counts with the largest size that a
// configuration gave it while it was held.
type worldReplica struct {
	server *Server
	truth  map[string]float64 // MB by reference
	orders []*worldOrder
}

// world plays configurations and orders of unknown fate against the planner.
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
	w.view.Sizes = NewSizeBook()
	for index := range 3 + w.random.IntN(4) {
		server := newServer(fmt.Sprintf("r%d", index))
		w.replicas = append(w.replicas, &worldReplica{server: server, truth: map[string]float64{}})
		w.view.Servers = append(w.view.Servers, server)
	}
	for index := range 4 + w.random.IntN(8) {
		model := sized(fmt.Sprintf("m%d", index), 0)
		w.models = append(w.models, model)
	}
	w.configure(false)
	for _, replica := range w.replicas {
		if w.random.IntN(2) == 0 {
			replica.truth["before"], replica.truth["before/a1"] = 30, 1 // of a configuration nobody saw
		}
	}
	return w
}

// configure puts the next configuration in force: the last one names all models and has ample room.
func (w *world) configure(last bool) {
	var models []configuration.Model
	for index := range w.models {
		w.models[index].WeightSizeMb = 20 + float64(w.random.IntN(600))/10
		w.models[index].AdapterSizeMb = float64(w.random.IntN(30)) / 10
		if last || w.random.IntN(3) > 0 {
			models = append(models, w.models[index])
		}
	}
	room, capacity := 60+float64(w.random.IntN(1000))/10, w.random.IntN(4)
	if last {
		room, capacity = 200, 3
	}
	w.view.setRoom(room, capacity, models...)
	for _, replica := range w.replicas {
		for reference := range replica.truth {
			size, _ := configuredSize(w.runtime(), reference)
			replica.truth[reference] = max(replica.truth[reference], size)
		}
	}
}

func (w *world) runtime() *configuration.Runtime {
	return w.view.Table.Configuration.Backends[0].Runtime
}

// ask has requests wait for references that no replica surely holds, and run where one does.
func (w *world) ask(references []string) {
	clear(w.view.Demand)
	for _, reference := range references {
		demand := &Demand{Rate: 0.5, LastSeen: w.view.Now, Running: 1}
		if !w.held(reference) {
			demand.Waiting, demand.OldestMs, demand.Running = 1, 50, 0
		}
		w.view.Demand[Key("s", reference)] = demand
	}
}

func (w *world) held(reference string) bool {
	for _, replica := range w.replicas {
		if replica.server.Models[reference] {
			return true
		}
	}
	return false
}

// step ends orders, shows the planner what it may know, and sends what it plans.
func (w *world) step(step int, references []string, troubled bool) {
	w.view.Now = w.view.Now.Add(100 * time.Millisecond)
	clear(w.view.Loading)
	for _, replica := range w.replicas {
		replica.advance(step, w.runtime())
		replica.show(w.view.Loading)
	}
	w.ask(references)
	w.view.Tokens = float64(w.random.IntN(3))
	for _, action := range Plan(w.view) {
		for _, replica := range w.replicas {
			if replica.server.ID == action.Server {
				w.check(replica, action)
				replica.orders = append(replica.orders, w.order(action, step, troubled))
			}
		}
	}
}

// order gives an action its fate.
func (w *world) order(action Action, step int, troubled bool) *worldOrder {
	size, _ := configuredSize(w.runtime(), action.Model)
	order := &worldOrder{action: action, doneAt: step + 1 + w.random.IntN(4), plannedSize: size}
	order.knownAt = order.doneAt
	if troubled && w.random.IntN(3) == 0 {
		order.unclear = true
		order.knownAt += w.random.IntN(12)
		if w.random.IntN(3) == 0 {
			order.doneAt = neverDone
		}
	}
	return order
}

// check checks a load in the world in which all that may be carried out is.
func (w *world) check(replica *worldReplica, action Action) {
	if !action.Load {
		assert.Assert(w.t, replica.server.Models[action.Model], "%s: %v", w.note, action)
		return
	}
	worst := map[string]float64{}
	for reference, size := range replica.truth {
		worst[reference] = size
	}
	for _, order := range replica.orders {
		if order.action.Load && !order.done {
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
	if model, adapter := split(action.Model); adapter != "" {
		assert.Assert(w.t, adapters <= runtime.AdapterCapacity, "%s: %v beside %v", w.note, action, worst)
		assert.Assert(w.t, replica.server.Models[model], "%s: %v", w.note, action)
	}
}

func TestGivenChangingConfigurationsAndUnknownFatesThenNoLoadExceedsAnyWorldAndAllIsLoaded(t *testing.T) {
	for seed := range uint64(400) {
		w := newWorld(t, seed)
		var asked []string
		for step := range 200 {
			if step%20 == 0 {
				asked = w.someReferences()
			}
			if w.random.IntN(15) == 0 {
				w.configure(false)
			}
			w.step(step, asked, true)
		}
		w.configure(true)
		wanted := []string{"m0", "m1", "m1/a1", "m2", "m2/a2"}
		for step := 200; step < 500 && !w.allHeld(wanted); step++ {
			w.step(step, wanted, step < 250)
		}
		assert.Assert(t, w.allHeld(wanted), w.describe())
		assert.Assert(t, w.bookIsBounded(), w.note)
	}
}

func (w *world) allHeld(references []string) bool {
	for _, reference := range references {
		if !w.held(reference) {
			return false
		}
	}
	return true
}

func (w *world) someReferences() []string {
	var references []string
	for _, model := range w.models {
		if w.random.IntN(2) == 0 {
			references = append(references, model.Name, Reference(model.Name, fmt.Sprintf("a%d", 1+w.random.IntN(3))))
		}
	}
	return references
}

// bookIsBounded reports whether the book names only what the servers hold or may hold.
func (w *world) bookIsBounded() bool {
	w.view.Sizes.forgetUnheld(w.view.Servers)
	for _, replica := range w.replicas {
		for reference := range w.view.Sizes.of(replica.server.ID) {
			if !replica.server.Models[reference] && !replica.server.MayHold[reference] {
				return false
			}
		}
	}
	return true
}
