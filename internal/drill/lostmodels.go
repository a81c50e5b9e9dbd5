package drill

import (
	"sort"
	"strings"

	"ferryspar/internal/discovery"
)

// modelKey is a model or adapter ("model/adapter") of a backend.
type modelKey struct {
	backend   string
	reference string
}

// lostModels returns the models and adapters without a copy outside the scope, sorted by descending request rate.
func (v FleetView) lostModels() []LostModel {
	remaining, lost := v.modelCopies()
	list := []LostModel{}
	for name := range lost {
		if !remaining[name] {
			list = append(list, v.lostModel(name.backend, name.reference))
		}
	}
	sort.Slice(list, func(first, second int) bool {
		if list[first].RatePerS != list[second].RatePerS {
			return list[first].RatePerS > list[second].RatePerS
		}
		return list[first].Backend+" "+list[first].Model < list[second].Backend+" "+list[second].Model
	})
	return list
}

// modelCopies returns the models and adapters that have a copy outside the scope, on a replica that isn't draining, and
// those that have one inside.
func (v FleetView) modelCopies() (remaining, lost map[modelKey]bool) {
	remaining, lost = map[modelKey]bool{}, map[modelKey]bool{}
	for _, replica := range v.Replicas {
		switch {
		case v.isLost(replica.Zone):
			addCopies(lost, replica)
		case replica.State != discovery.StateDraining:
			addCopies(remaining, replica)
		}
	}
	return remaining, lost
}

// addCopies adds the models and adapters that are loaded on a replica.
func addCopies(into map[modelKey]bool, replica discovery.Replica) {
	for _, loaded := range replica.Models {
		into[modelKey{replica.Backend, loaded.Name}] = true
		for _, adapter := range loaded.Adapters {
			into[modelKey{replica.Backend, loaded.Name + "/" + adapter}] = true
		}
	}
}

// lostModel returns a lost model or adapter with its demand and load time.
func (v FleetView) lostModel(backend, reference string) LostModel {
	return LostModel{
		Backend:  backend,
		Model:    reference,
		RatePerS: v.Demand[backend+" "+reference],
		LoadMs:   v.loadTimeMs(backend, reference),
	}
}

// loadTimeMs returns the load time of a model in milliseconds, or 0 for an adapter or an unknown model.
func (v FleetView) loadTimeMs(backend, reference string) float64 {
	if v.Table == nil || strings.Contains(reference, "/") {
		return 0
	}
	_, index, known := v.Table.Backend(backend)
	if !known {
		return 0
	}
	model, known := v.Table.Model(index, reference)
	if !known {
		return 0
	}
	return model.LoadTimeS * 1000
}
