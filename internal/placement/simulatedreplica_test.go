package placement

import (
	"fmt"
	"strings"

	"ferryspar/internal/configuration"
)

// advance carries out the orders that are due, and drops those whose outcome is known.
func (r *simulatedReplica) advance(step int, runtime *configuration.Runtime) {
	var remaining []*simulatedOrder
	for _, order := range r.orders {
		if !order.isDone && order.doneAt != neverDone && order.doneAt <= step {
			order.isDone = true
			r.execute(order, runtime)
		}
		if order.knownAt > step {
			remaining = append(remaining, order)
		}
	}
	r.orders = remaining
}

// execute carries out an order as a replica does: it loads an item only once, and rejects an adapter without its
// model.
func (r *simulatedReplica) execute(order *simulatedOrder, runtime *configuration.Runtime) {
	model, adapter := SplitReference(order.action.Model)
	_, modelLoaded := r.loaded[model]
	switch {
	case !order.action.Load:
		for reference := range r.loaded {
			if reference == order.action.Model || strings.HasPrefix(reference, order.action.Model+"/") {
				delete(r.loaded, reference)
			}
		}
	case adapter == "" || modelLoaded:
		size, _ := configuredSize(runtime, order.action.Model)
		r.loaded[order.action.Model] = max(r.loaded[order.action.Model], size, order.plannedSize)
	}
}

// updateView updates the server in the view by what the planner may know of the replica.
func (r *simulatedReplica) updateView(loading map[string]int) {
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

// describe returns the state of the simulation for the message of a failing test.
func (s *orderSimulation) describe() string {
	text := fmt.Sprintf("%s, memory %v, %v", s.note, s.runtime().WeightSizeMb, s.runtime().Models)
	for _, replica := range s.replicas {
		server := replica.server
		text += fmt.Sprintf("\n%s ready %v intent %q loaded %v maybe loaded %v recorded sizes %v",
			server.ID, server.Ready, server.Intent, replica.loaded, server.MaybeLoaded, s.view.SizeHistory.sizesAt(server.ID))
	}
	return text
}
