package place

import (
	"fmt"
	"strings"

	"ferryspar/internal/configuration"
)

// advance carries out the orders that are due, and forgets those whose fate is known.
func (r *worldReplica) advance(step int, runtime *configuration.Runtime) {
	var left []*worldOrder
	for _, order := range r.orders {
		if !order.done && order.doneAt != neverDone && order.doneAt <= step {
			order.done = true
			r.carryOut(order, runtime)
		}
		if order.knownAt > step {
			left = append(left, order)
		}
	}
	r.orders = left
}

// carryOut does a load once only, and refuses an adapter without its model.
func (r *worldReplica) carryOut(order *worldOrder, runtime *configuration.Runtime) {
	model, adapter := split(order.action.Model)
	_, modelHeld := r.truth[model]
	switch {
	case !order.action.Load:
		for reference := range r.truth {
			if reference == order.action.Model || strings.HasPrefix(reference, order.action.Model+"/") {
				delete(r.truth, reference)
			}
		}
	case adapter == "" || modelHeld:
		size, _ := configuredSize(runtime, order.action.Model)
		r.truth[order.action.Model] = max(r.truth[order.action.Model], size, order.plannedSize)
	}
}

// show gives the planner's view of the replica the bounds of what it holds in all possible worlds.
func (r *worldReplica) show(loading map[string]int) {
	server := r.server
	server.Models, server.MayHold, server.Ready = map[string]bool{}, map[string]bool{}, true
	for reference := range r.truth {
		server.Models[reference] = true
	}
	for _, order := range r.orders {
		server.Ready = server.Ready && order.unclear
		if order.action.Load {
			loading[Key("s", order.action.Model)]++
		}
		for reference := range server.Models {
			changed := reference == order.action.Model || strings.HasPrefix(reference, order.action.Model+"/")
			if changed && (order.unclear || !order.action.Load) {
				delete(server.Models, reference)
				server.MayHold[reference] = true
			}
		}
		if order.action.Load {
			server.MayHold[order.action.Model] = !server.Models[order.action.Model]
		}
	}
	for reference, uncertain := range server.MayHold {
		if !uncertain {
			delete(server.MayHold, reference)
		}
	}
	for reference := range r.truth {
		server.Held[reference] = !strings.Contains(reference, "/")
	}
}

// describe is the state of the world, for a failing test.
func (w *world) describe() string {
	text := fmt.Sprintf("%s, room %v, %v", w.note, w.runtime().WeightSizeMb, w.runtime().Models)
	for _, replica := range w.replicas {
		server := replica.server
		text += fmt.Sprintf("\n%s ready %v intent %q holds %v may hold %v remembered %v",
			server.ID, server.Ready, server.Intent, replica.truth, server.MayHold, w.view.Sizes.of(server.ID))
	}
	return text
}
