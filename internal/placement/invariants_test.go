package placement

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// planChecker checks the invariants of a plan: at most one action per server, the memory and adapter slots of servers, the
// rate of the model store, and the copies of items in demand.
type planChecker struct {
	t          *testing.T
	view       *View
	reference  referenceView
	note       string
	acted      map[string]bool // by server
	loads      map[string]int  // by reference
	unloads    map[string]int
	storeLoads float64 // loads of models from the model store
}

func checkPlan(t *testing.T, view *View, actions []Action, tokens float64, note string) {
	t.Helper()
	checker := planChecker{
		t:         t,
		view:      view,
		reference: referenceView{view, map[string]Demand{}},
		note:      note,
		acted:     map[string]bool{},
		loads:     map[string]int{},
		unloads:   map[string]int{},
	}
	servers := map[string]*Server{}
	for _, server := range view.Servers {
		servers[server.ID] = server
	}
	for _, action := range actions {
		server := servers[action.Server]
		assert.Assert(t, !checker.acted[server.ID] && server.Ready, "%s: %v", note, action)
		checker.acted[server.ID] = true
		if action.Load {
			checker.checkLoad(server, action)
		} else {
			checker.checkUnload(server, action)
		}
	}
	assert.Assert(t, checker.storeLoads <= math.Max(tokens, 0), "%s: %v loads, %v allowed", note, checker.storeLoads, tokens)
}

func (c *planChecker) checkLoad(server *Server, action Action) {
	c.t.Helper()
	model, adapter := SplitReference(action.Model)
	assert.Assert(c.t, server.isServing(c.view) && !server.Loaded[action.Model], "%s: %v", c.note, action)
	if action.FromStore && adapter == "" {
		c.storeLoads++
	}
	c.loads[action.Model]++
	isRare := len(c.reference.copies("s", model)) == 0 && c.reference.totalDemand("s", model).Rate <= hotRate
	if adapter == "" && isRare && action.FromStore {
		assert.Equal(c.t, c.loads[action.Model], 1, "%s: %v", c.note, action)
	}
	checkLoad(c.t, c.view, server, action, c.note)
}

func (c *planChecker) checkUnload(server *Server, action Action) {
	c.t.Helper()
	runtime := c.view.Table.Configuration.Backends[0].Runtime
	model, adapter := SplitReference(action.Model)
	assert.Assert(c.t, server.Loaded[action.Model], "%s: %v", c.note, action)
	c.unloads[action.Model]++
	remaining := len(c.reference.copies("s", action.Model)) - c.unloads[action.Model]
	demand := c.reference.totalDemand("s", model)
	if adapter != "" {
		demand = c.reference.ownDemand("s", action.Model)
	}
	if !isConfiguredReference(runtime, action.Model) {
		return
	}
	if server.isServing(c.view) && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > hotRate) {
		assert.Assert(c.t, remaining >= 1, "%s: %v", c.note, action)
	}
	if action.Reason != ContextEvictionReason && adapter == "" && demand.Running > 0 {
		needed := demand.Running / (tightUtilization * float64(runtime.Slots))
		assert.Assert(c.t, float64(remaining) >= needed, "%s: %v", c.note, action)
	}
}

func TestPlan_KeepsInvariantsOnLargeFleets(t *testing.T) {
	for seed := range uint64(20) {
		shape := fleetShape{
			replicas: 20 + int(seed)*9,
			models:   60 + int(seed)*18,
			adapters: int(seed) * 20,
			active:   0.2 + float64(seed%5)*0.2,
			waiting:  float64(seed%7) / 7,
		}
		view := shape.view(seed)
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

// applyActions updates the view as if all actions had been completed.
func applyActions(view *View, actions []Action) {
	clear(view.Loading)
	for _, action := range actions {
		for _, server := range view.Servers {
			if server.ID == action.Server && action.Load {
				server.Loaded[action.Model] = true
			} else if server.ID == action.Server {
				for reference := range server.Loaded {
					if base, _ := SplitReference(reference); reference == action.Model || base == action.Model {
						delete(server.Loaded, reference)
					}
				}
			}
		}
	}
}
