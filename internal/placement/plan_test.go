package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func smallView(servers ...*Server) *View {
	runtime := &configuration.Runtime{
		Slots:           10,
		WeightSizeMb:    200,
		AdapterCapacity: 2,
		LoadsPerS:       1,
		Models: []configuration.Model{
			{Name: "hot", WeightSizeMb: 90, LoadTimeS: 5, Adapters: 4, AdapterSizeMb: 1},
			{Name: "rare", WeightSizeMb: 90, LoadTimeS: 5},
			{Name: "old", WeightSizeMb: 90, LoadTimeS: 5},
		},
	}
	table := configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
		Name:    "s",
		Runtime: runtime,
	}}}, nil)
	return &View{
		Now:          now,
		Table:        table,
		Servers:      servers,
		Demand:       map[string]*Demand{},
		Loading:      map[string]int{},
		DrainedZones: map[string]bool{},
		StoreTokens:  5,
		DemandKnown:  true,
	}
}

func newServer(id string, models ...string) *Server {
	server := &Server{ID: id, Backend: "s", Zone: "north", Ready: true, Loaded: map[string]bool{}, OnDisk: map[string]bool{}}
	for _, model := range models {
		server.Loaded[model] = true
	}
	return server
}

func actionsFor(actions []Action, load bool, model string) []Action {
	var found []Action
	for _, action := range actions {
		if action.Load == load && action.Model == model {
			found = append(found, action)
		}
	}
	return found
}

func TestPlan_LoadsMissingModelOnce(t *testing.T) {
	view := smallView(newServer("a", "old"), newServer("b", "old"))
	view.Demand[ModelKey("s", "rare")] = &Demand{Waiting: 2, OldestWaitMs: 50, LastRequestAt: now}
	actions := Plan(view)
	assert.Equal(t, len(actionsFor(actions, true, "rare")), 1)
	assert.Assert(t, actionsFor(actions, true, "rare")[0].FromStore)
	view.Loading[ModelKey("s", "rare")] = 1
	assert.Equal(t, len(actionsFor(Plan(view), true, "rare")), 0)
}

func TestPlan_EvictsIdleModelAndEndsIntentWithLoad(t *testing.T) {
	server := newServer("a", "old", "rare2")
	server.Loaded = map[string]bool{"old": true, "hot": true}
	view := smallView(server)
	view.Demand[ModelKey("s", "hot")] = &Demand{Rate: 3, Running: 2, LastRequestAt: now}
	view.Demand[ModelKey("s", "rare")] = &Demand{Waiting: 1, OldestWaitMs: 50, LastRequestAt: now}
	server.Loaded["hot/a1"], server.Loaded["hot/a2"] = true, true
	actions := Plan(view)
	assert.Equal(t, len(actionsFor(actions, false, "hot")), 0, "the last copy of a model in demand is kept")
	if len(actionsFor(actions, false, "old")) == 1 {
		assert.Equal(t, server.Intent, "rare")
	}
	server.Loaded = map[string]bool{"hot": true}
	server.Intent = "rare"
	actions = Plan(view)
	assert.Equal(t, len(actionsFor(actions, true, "rare")), 1)
	assert.Equal(t, server.Intent, "")
	server.Intent, server.Loaded["rare"] = "rare", true
	Plan(view)
	assert.Equal(t, server.Intent, "", "the intent for a model that is loaded is cleared")
}

func TestPlanner_KeepsCopyWithLastAdapter(t *testing.T) {
	view := smallView(newServer("a", "hot", "hot/a1", "old"), newServer("b", "hot", "old"))
	view.Demand[ModelKey("s", "hot")] = &Demand{Rate: 3, LastRequestAt: now}
	p := newPlanner(view, NewCatalog(view.Table).backends[0])
	assert.Assert(t, !p.canEvict(&p.servers[0], p.itemNumber("hot"), p.counts.loaded))
}

func TestPlan_LoadsOnlyFromDiskWithoutStoreTokens(t *testing.T) {
	fresh, returned := newServer("a"), newServer("b")
	returned.OnDisk["rare"] = true
	view := smallView(fresh, returned)
	view.StoreTokens = 0
	view.Demand[ModelKey("s", "rare")] = &Demand{Waiting: 1, OldestWaitMs: 50, LastRequestAt: now}
	loads := actionsFor(Plan(view), true, "rare")
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Server, "b")
	assert.Assert(t, !loads[0].FromStore)
}

func TestPlan_CountsModelPossiblyOnDiskAsStoreLoad(t *testing.T) {
	returnedView := func(tokens, spare float64) *View {
		fresh, returned := newServer("a"), newServer("b")
		returned.MaybeOnDisk = map[string]bool{"rare": true}
		view := smallView(fresh, returned)
		view.StoreTokens, view.SpareStoreTokens = tokens, spare
		return view
	}
	waiting := &Demand{Waiting: 1, OldestWaitMs: 50, LastRequestAt: now}
	t.Run("not loaded without a token even if requests wait", func(t *testing.T) {
		view := returnedView(0, 0)
		view.Demand[ModelKey("s", "rare")] = waiting
		assert.Equal(t, len(Plan(view)), 0)
	})
	t.Run("preferred to a server that never had it, but takes a token", func(t *testing.T) {
		view := returnedView(1, 0)
		view.Demand[ModelKey("s", "rare")] = waiting
		want := Action{
			Server: "b", Load: true, Model: "rare", FromStore: true, MaybeFromDisk: true, Reason: "asked for and nowhere loaded",
		}
		assert.DeepEqual(t, Plan(view), []Action{want})
		assert.Equal(t, view.StoreTokens, 0.0)
	})
	t.Run("restored without requests only with a spare token", func(t *testing.T) {
		assert.Equal(t, len(Plan(returnedView(5, 0))), 0)
		assert.Equal(t, len(actionsFor(Plan(returnedView(5, 1)), true, "rare")), 1)
	})
}

// subset returns the elements at the positions of the bits that are set in the mask.
func subset(elements []string, mask int) []string {
	var chosen []string
	for bit, element := range elements {
		if mask>>bit&1 == 1 {
			chosen = append(chosen, element)
		}
	}
	return chosen
}

// exceeds reports whether what the server has loaded exceeds its memory or adapter slots.
func (s *Server) exceeds(runtime *configuration.Runtime) bool {
	return s.configuredSize(runtime) > runtime.WeightSizeMb || s.adapterCount() > runtime.AdapterCapacity
}

func TestPlan_NeverExceedsCapacityOrAdapterSlots(t *testing.T) {
	for shape := range 64 {
		models := subset([]string{"hot", "rare", "hot/a1", "hot/a2", "old", "hot/a3"}, shape)
		server := newServer("a", models...)
		view := smallView(server, newServer("b", "hot"))
		for _, name := range []string{"hot/a4", "rare", "old", "hot"} {
			view.Demand[ModelKey("s", name)] = &Demand{Waiting: 1, OldestWaitMs: 10, Rate: 2, LastRequestAt: now}
		}
		runtime := view.Table.Configuration.Backends[0].Runtime
		if server.exceeds(runtime) {
			continue
		}
		for _, action := range Plan(view) {
			if action.Server != "a" || !action.Load {
				continue
			}
			server.Loaded[action.Model] = true
			if server.exceeds(runtime) {
				t.Fatalf("shape %d: %s does not fit %v", shape, action.Model, models)
			}
		}
	}
}

func TestPlan_IgnoresCopiesOfSuspectedServer(t *testing.T) {
	suspected := newServer("a", "rare")
	suspected.Suspected = true
	view := smallView(suspected, newServer("b"))
	view.Demand[ModelKey("s", "rare")] = &Demand{Waiting: 1, OldestWaitMs: 50, LastRequestAt: now}
	loads := actionsFor(Plan(view), true, "rare")
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Server, "b")
}

func TestPlan_KeepsMultipleCopiesUntilDemandKnown(t *testing.T) {
	view := smallView(newServer("a", "hot", "old"), newServer("b", "hot", "old"))
	view.Table.Configuration.Backends[0].Runtime.AdapterCapacity = 0
	view.Demand[ModelKey("s", "rare")] = &Demand{Waiting: 1, OldestWaitMs: 50, LastRequestAt: now}
	view.DemandKnown = false
	unloads := func() int {
		count := 0
		for _, action := range Plan(view) {
			if !action.Load {
				count++
			}
		}
		return count
	}
	assert.Equal(t, unloads(), 0, "models with several copies are kept until the demand is known")
	view.DemandKnown = true
	assert.Assert(t, unloads() > 0)
}

func TestPlan_KeepsCopiesUnderPrefillLoad(t *testing.T) {
	view := smallView(newServer("a", "rare", "old"), newServer("b", "rare", "old"), newServer("c", "rare", "old"))
	view.Table.Configuration.Backends[0].Runtime.AdapterCapacity = 0
	view.Demand[ModelKey("s", "hot")] = &Demand{Waiting: 1, OldestWaitMs: 50, LastRequestAt: now}
	view.Demand[ModelKey("s", "rare")] = &Demand{Rate: 9, PrefillLoad: 0.5, LastRequestAt: now}
	assert.Equal(t, len(actionsFor(Plan(view), false, "rare")), 0)
	assert.Equal(t, len(actionsFor(Plan(view), false, "old")), 1)
}
