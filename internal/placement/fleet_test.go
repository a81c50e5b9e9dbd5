package placement

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// checkPlan checks what a plan must never break: one action a server, room, the rate of loads, copies
// in demand.
func checkPlan(t *testing.T, view *View, actions []Action, tokens float64, note string) {
	t.Helper()
	runtime := view.Table.Configuration.Backends[0].Runtime
	reference := referenceView{view, map[string]Demand{}}
	servers, memory, taken, fresh := map[string]*Server{}, map[string]bool{}, map[string]int{}, map[string]int{}
	for _, server := range view.Servers {
		servers[server.ID] = server
	}
	stored := 0.0
	for _, action := range actions {
		server := servers[action.Server]
		assert.Assert(t, !memory[server.ID] && server.Ready, "%s: %v", note, action)
		memory[server.ID] = true
		model, adapter := splitReference(action.Model)
		if action.Load {
			assert.Assert(t, server.isServing(view) && !server.Loaded[action.Model], "%s: %v", note, action)
			if action.FromStore && adapter == "" {
				stored++
			}
			fresh[action.Model]++
			seldom := len(reference.copies("s", model)) == 0 && reference.totalDemand("s", model).Rate <= hotRate
			if adapter == "" && seldom && action.FromStore {
				assert.Equal(t, fresh[action.Model], 1, "%s: %v", note, action)
			}
			checkLoad(t, view, server, action, note)
			continue
		}
		assert.Assert(t, server.Loaded[action.Model], "%s: %v", note, action)
		taken[action.Model]++
		demand, rest := reference.totalDemand("s", model), len(reference.copies("s", action.Model))-taken[action.Model]
		if adapter != "" {
			demand = reference.ownDemand("s", action.Model)
		}
		listed := isConfiguredReference(runtime, action.Model)
		if listed && server.isServing(view) && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > hotRate) {
			assert.Assert(t, rest >= 1, "%s: %v", note, action)
		}
		if listed && action.Reason != ContextEvictionReason && adapter == "" && demand.Running > 0 {
			assert.Assert(t, float64(rest) >= demand.Running/(tightUtilization*float64(runtime.Slots)), "%s: %v", note, action)
		}
	}
	assert.Assert(t, stored <= math.Max(tokens, 0), "%s: %v loads, %v allowed", note, stored, tokens)
}

func TestPlan_KeepsInvariantsOnLargeFleets(t *testing.T) {
	for seed := range uint64(20) {
		server := fleetShape{
			replicas: 20 + int(seed)*9,
			models:   60 + int(seed)*18,
			adapters: int(seed) * 20,
			active:   0.2 + float64(seed%5)*0.2,
			waiting:  float64(seed%7) / 7,
		}
		view := server.view(seed)
		tokens := view.StoreTokens
		for round := range 3 {
			actions := Plan(view)
			checkPlan(t, view, actions, tokens, fmt.Sprintf("seed %d, round %d", seed, round))
			tokens = view.StoreTokens
			applyActions(view, actions)
		}
	}
}

func TestPlan_KeepsInvariantsOnRandomViews(t *testing.T) {
	for seed := range uint64(600) {
		view := randomView(seed)
		tokens := view.StoreTokens
		checkPlan(t, view, Plan(view), tokens, fmt.Sprintf("seed %d", seed))
	}
}

// applyActions does the actions as though all took no time.
func applyActions(view *View, actions []Action) {
	clear(view.Loading)
	for _, action := range actions {
		for _, server := range view.Servers {
			if server.ID == action.Server && action.Load {
				server.Loaded[action.Model] = true
			} else if server.ID == action.Server {
				for reference := range server.Loaded {
					if base, _ := splitReference(reference); reference == action.Model || base == action.Model {
						delete(server.Loaded, reference)
					}
				}
			}
		}
	}
}
