package place

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
	plain := plainView{view, map[string]Demand{}}
	servers, used, taken, fresh := map[string]*Server{}, map[string]bool{}, map[string]int{}, map[string]int{}
	for _, one := range view.Servers {
		servers[one.ID] = one
	}
	stored := 0.0
	for _, action := range actions {
		one := servers[action.Server]
		assert.Assert(t, !used[one.ID] && one.Ready, "%s: %v", note, action)
		used[one.ID] = true
		model, adapter := split(action.Model)
		if action.Load {
			assert.Assert(t, one.counts(view) && !one.Models[action.Model], "%s: %v", note, action)
			if action.Stored && adapter == "" {
				stored++
			}
			fresh[action.Model]++
			seldom := len(plain.copies("s", model)) == 0 && plain.totalDemand("s", model).Rate <= hotRate
			if adapter == "" && seldom && action.Stored {
				assert.Equal(t, fresh[action.Model], 1, "%s: %v", note, action)
			}
			checkLoad(t, view, one, action, note)
			continue
		}
		assert.Assert(t, one.Models[action.Model], "%s: %v", note, action)
		taken[action.Model]++
		demand, rest := plain.totalDemand("s", model), len(plain.copies("s", action.Model))-taken[action.Model]
		if adapter != "" {
			demand = plain.ownDemand("s", action.Model)
		}
		listed := plainListed(runtime, action.Model)
		if listed && one.counts(view) && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > hotRate) {
			assert.Assert(t, rest >= 1, "%s: %v", note, action)
		}
		if listed && action.Why != ContextEvictionReason && adapter == "" && demand.Running > 0 {
			assert.Assert(t, float64(rest) >= demand.Running/(tightShare*float64(runtime.Slots)), "%s: %v", note, action)
		}
	}
	assert.Assert(t, stored <= math.Max(tokens, 0), "%s: %v loads, %v allowed", note, stored, tokens)
}

func TestGivenLargeRandomFleetsThenRoomCeilingsAndLastCopiesAreKept(t *testing.T) {
	for seed := range uint64(20) {
		one := fleetShape{
			replicas: 20 + int(seed)*9,
			models:   60 + int(seed)*18,
			adapters: int(seed) * 20,
			active:   0.2 + float64(seed%5)*0.2,
			waiting:  float64(seed%7) / 7,
		}
		view := one.view(seed)
		tokens := view.Tokens
		for round := range 3 {
			actions := Plan(view)
			checkPlan(t, view, actions, tokens, fmt.Sprintf("seed %d, round %d", seed, round))
			tokens = view.Tokens
			apply(view, actions)
		}
	}
}

func TestGivenRandomScenesThenRoomCeilingsAndLastCopiesAreKept(t *testing.T) {
	for seed := range uint64(600) {
		view := randomView(seed)
		tokens := view.Tokens
		checkPlan(t, view, Plan(view), tokens, fmt.Sprintf("seed %d", seed))
	}
}

// apply does the actions as though all took no time.
func apply(view *View, actions []Action) {
	clear(view.Loading)
	for _, action := range actions {
		for _, one := range view.Servers {
			if one.ID == action.Server && action.Load {
				one.Models[action.Model] = true
			} else if one.ID == action.Server {
				for reference := range one.Models {
					if base, _ := split(reference); reference == action.Model || base == action.Model {
						delete(one.Models, reference)
					}
				}
			}
		}
	}
}
