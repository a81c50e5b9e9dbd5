package placement

import (
	"maps"
	"math"
	"strings"
)

// Copy copies the view with its servers and demands. All else is shared: plans only read it, but for
// Loading, which Without replaces.
func (v *View) Clone() *View {
	copied := *v
	copied.SizeHistory = v.SizeHistory.Clone()
	copied.Servers = make([]*Server, len(v.Servers))
	for index, server := range v.Servers {
		copiedServer := *server
		copiedServer.Loaded = maps.Clone(server.Loaded)
		copiedServer.MaybeLoaded = maps.Clone(server.MaybeLoaded)
		copied.Servers[index] = &copiedServer
	}
	copied.Demand = make(map[string]*Demand, len(v.Demand))
	for name, demand := range v.Demand {
		copiedDemand := *demand
		copied.Demand[name] = &copiedDemand
	}
	return &copied
}

// servedKeys are the Keys of all that serving servers hold.
func (v *View) servedKeys() map[string]bool {
	found := map[string]bool{}
	for _, server := range v.Servers {
		if !server.isServing(v) {
			continue
		}
		for reference := range server.Loaded {
			found[ModelKey(server.Backend, reference)] = true
		}
	}
	return found
}

// Without takes the servers of lost zones out of a copied view. What is asked for and has no copy left
// is waited for by as many requests as come in a second. Loads under way are left out.
func (v *View) RemoveZones(lost func(zone string) bool) {
	kept := v.Servers[:0]
	before := map[string]bool{}
	for _, server := range v.Servers {
		if lost(server.Zone) {
			for reference := range server.Loaded {
				before[ModelKey(server.Backend, reference)] = true
			}
			continue
		}
		server.Ready = true
		kept = append(kept, server)
	}
	v.Servers = kept
	v.Loading = map[string]int{}
	v.ContextEvictions = nil
	v.ContextEvictionInProgress = false
	served := v.servedKeys()
	for name := range before {
		demand := v.Demand[name]
		if demand == nil || demand.Rate == 0 || served[name] {
			continue
		}
		demand.Waiting = max(demand.Waiting, int(math.Ceil(demand.Rate)))
		demand.LastSeen = v.Now
	}
}

// forecastRounds is how many plans a forecast joins at most.
const forecastRounds = 6

// Forecast plans on a copied view several times, each time as though all actions of the last plan
// were done and one load from the store were allowed, and returns all actions in their sequence.
func Forecast(view *View) []Action {
	var planned []Action
	for range forecastRounds {
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

// applyActions does an action. A model takes its adapters along when it is unloaded.
func (v *View) apply(action Action) {
	for _, server := range v.Servers {
		if server.ID != action.Server {
			continue
		}
		if action.Load {
			server.Loaded[action.Model] = true
			continue
		}
		for reference := range server.Loaded {
			if reference == action.Model || strings.HasPrefix(reference, action.Model+"/") {
				delete(server.Loaded, reference)
			}
		}
	}
}
