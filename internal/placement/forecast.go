package placement

import (
	"maps"
	"math"
	"strings"
)

// Clone returns a copy of the view with its own servers, demand and size history. Everything else is shared, since plans
// only read it, except for Loading, which RemoveZones replaces.
func (v *View) Clone() *View {
	clone := *v
	clone.SizeHistory = v.SizeHistory.Clone()
	clone.Servers = make([]*Server, len(v.Servers))
	for index, server := range v.Servers {
		clonedServer := *server
		clonedServer.Loaded = maps.Clone(server.Loaded)
		clonedServer.MaybeLoaded = maps.Clone(server.MaybeLoaded)
		clone.Servers[index] = &clonedServer
	}
	clone.Demand = make(map[string]*Demand, len(v.Demand))
	for key, demand := range v.Demand {
		clonedDemand := *demand
		clone.Demand[key] = &clonedDemand
	}
	return &clone
}

// RemoveZones removes the servers of lost zones from a cloned view. A model or adapter in demand that has no copy left gets
// as many waiting requests as arrive within a second. Loads in progress and context evictions are dropped.
func (v *View) RemoveZones(lost func(zone string) bool) {
	remaining := v.Servers[:0]
	lostKeys := map[string]bool{}
	for _, server := range v.Servers {
		if lost(server.Zone) {
			for reference := range server.Loaded {
				lostKeys[ModelKey(server.Backend, reference)] = true
			}
			continue
		}
		server.Ready = true
		remaining = append(remaining, server)
	}
	v.Servers = remaining
	v.Loading = map[string]int{}
	v.ContextEvictions = nil
	v.ContextEvictionInProgress = false
	served := v.servedKeys()
	for key := range lostKeys {
		demand := v.Demand[key]
		if demand == nil || demand.Rate == 0 || served[key] {
			continue
		}
		demand.Waiting = max(demand.Waiting, int(math.Ceil(demand.Rate)))
		demand.LastRequestAt = v.Now
	}
}

// servedKeys returns the ModelKeys of all models and adapters that serving servers have loaded.
func (v *View) servedKeys() map[string]bool {
	served := map[string]bool{}
	for _, server := range v.Servers {
		if !server.isServing(v) {
			continue
		}
		for reference := range server.Loaded {
			served[ModelKey(server.Backend, reference)] = true
		}
	}
	return served
}

// maxForecastPlans is the largest number of consecutive plans of a forecast.
const maxForecastPlans = 6

// Forecast makes several consecutive plans on a cloned view and returns all their actions in order. Each plan assumes that
// all actions of the plan before are done and that the model store allows at least one load.
func Forecast(view *View) []Action {
	var planned []Action
	for range maxForecastPlans {
		view.StoreTokens = max(view.StoreTokens, 1)
		actions := Plan(view)
		if len(actions) == 0 {
			break
		}
		for _, action := range actions {
			view.apply(action)
		}
		view.Loading = map[string]int{}
		planned = append(planned, actions...)
	}
	return planned
}

// apply changes the view as if an action had been carried out. Unloading a model unloads its adapters too.
func (v *View) apply(action Action) {
	for _, server := range v.Servers {
		if server.ID != action.Server {
			continue
		}
		if action.Load {
			server.Loaded[action.Model] = true
			continue
		}
		adapters := action.Model + adapterSeparator
		for reference := range server.Loaded {
			if reference == action.Model || strings.HasPrefix(reference, adapters) {
				delete(server.Loaded, reference)
			}
		}
	}
}
