package placement

import (
	"fmt"
	"strings"

	"ferryspar/internal/configuration"
)

// advance carries out the orders that are due, and forgets those whose outcome is known.
func (r *worldReplica) advance(step int, runtime *configuration.Runtime) {
	var left []*worldOrder
	for _, order := range r.orders {
		if !order.isDone && order.doneAt != neverDone && order.doneAt <= step {
			order.isDone = true
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
	model, adapter := SplitReference(order.action.Model)
	_, modelHeld := r.loaded[model]
	switch {
	case !order.action.Load:
		for reference := range r.loaded {
			if reference == order.action.Model || strings.HasPrefix(reference, order.action.Model+"/") {
				delete(r.loaded, reference)
			}
		}
	case adapter == "" || modelHeld:
		size, _ := configuredSize(runtime, order.action.Model)
		r.loaded[order.action.Model] = max(r.loaded[order.action.Model], size, order.plannedSize)
	}
}

// updateView sets the bounds of what the replica has loaded, as the planner may know them.
func (r *worldReplica) updateView(loading map[string]int) {
	server := r.server
	server.Loaded, server.MaybeLoaded, server.Ready = map[string]bool{}, map[string]bool{}, true
	for reference := range r.loaded {
		server.Loaded[reference] = true
	}
	for _, order := range r.orders {
		server.Ready = server.Ready && order.isUncertain
		if order.action.Load {
			loading[ModelKey("s", order.action.Model)]++
		}
		for reference := range server.Loaded {
			changed := reference == order.action.Model || strings.HasPrefix(reference, order.action.Model+"/")
			if changed && (order.isUncertain || !order.action.Load) {
				delete(server.Loaded, reference)
				server.MaybeLoaded[reference] = true
			}
		}
		if order.action.Load {
			server.MaybeLoaded[order.action.Model] = !server.Loaded[order.action.Model]
		}
	}
	for reference, uncertain := range server.MaybeLoaded {
		if !uncertain {
			delete(server.MaybeLoaded, reference)
		}
	}
	for reference := range r.loaded {
		server.OnDisk[reference] = !strings.Contains(reference, "/")
	}
}

// describe is the state of the world, for a failing test.
func (w *world) describe() string {
	text := fmt.Sprintf("%s, memory %v, %v", w.note, w.runtime().WeightSizeMb, w.runtime().Models)
	for _, replica := range w.replicas {
		server := replica.server
		text += fmt.Sprintf("\n%s ready %v intent %q holds %v may hold %v remembered %v",
			server.ID, server.Ready, server.Intent, replica.loaded, server.MaybeLoaded, w.view.SizeHistory.sizesAt(server.ID))
	}
	return text
}
