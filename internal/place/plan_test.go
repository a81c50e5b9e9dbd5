package place

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
		Now:     now,
		Table:   table,
		Servers: servers,
		Demand:  map[string]*Demand{},
		Loading: map[string]int{},
		Drained: map[string]bool{},
		Tokens:  5,
		Learned: true,
	}
}

func newServer(id string, models ...string) *Server {
	one := &Server{ID: id, Backend: "s", Zone: "north", Ready: true, Models: map[string]bool{}, Held: map[string]bool{}}
	for _, model := range models {
		one.Models[model] = true
	}
	return one
}

func find(actions []Action, load bool, model string) []Action {
	var found []Action
	for _, action := range actions {
		if action.Load == load && action.Model == model {
			found = append(found, action)
		}
	}
	return found
}

func TestGivenAModelAskedForAndRoomThenItIsLoadedOnce(t *testing.T) {
	view := smallView(newServer("a", "old"), newServer("b", "old"))
	view.Demand[Key("s", "rare")] = &Demand{Waiting: 2, OldestMs: 50, LastSeen: now}
	actions := Plan(view)
	assert.Equal(t, len(find(actions, true, "rare")), 1)
	assert.Assert(t, find(actions, true, "rare")[0].Stored)
	view.Loading[Key("s", "rare")] = 1
	assert.Equal(t, len(find(Plan(view), true, "rare")), 0)
}

func TestGivenAFullReplicaThenAnIdleModelMakesWayAndTheIntentEndsWithTheLoad(t *testing.T) {
	one := newServer("a", "old", "rare2")
	one.Models = map[string]bool{"old": true, "hot": true}
	view := smallView(one)
	view.Demand[Key("s", "hot")] = &Demand{Rate: 3, Running: 2, LastSeen: now}
	view.Demand[Key("s", "rare")] = &Demand{Waiting: 1, OldestMs: 50, LastSeen: now}
	one.Models["hot/a1"], one.Models["hot/a2"] = true, true
	actions := Plan(view)
	assert.Equal(t, len(find(actions, false, "hot")), 0, "the last copy in demand stays")
	if len(find(actions, false, "old")) == 1 {
		assert.Equal(t, one.Intent, "rare")
	}
	one.Models = map[string]bool{"hot": true}
	one.Intent = "rare"
	actions = Plan(view)
	assert.Equal(t, len(find(actions, true, "rare")), 1)
	assert.Equal(t, one.Intent, "")
	one.Intent, one.Models["rare"] = "rare", true
	Plan(view)
	assert.Equal(t, one.Intent, "", "an intent for a model that stands must end")
}

func TestGivenACopyWithTheLastAdapterThenItIsNotEvicted(t *testing.T) {
	view := smallView(newServer("a", "hot", "hot/a1", "old"), newServer("b", "hot", "old"))
	view.Demand[Key("s", "hot")] = &Demand{Rate: 3, LastSeen: now}
	p := newPlanner(view, NewCatalog(view.Table).backends[0])
	assert.Assert(t, !p.expendable(&p.servers[0], p.number("hot"), p.copyCount))
}

func TestGivenNoStoreLoadsLeftThenOnlyModelsHeldBeforeAreLoaded(t *testing.T) {
	fresh, returned := newServer("a"), newServer("b")
	returned.Held["rare"] = true
	view := smallView(fresh, returned)
	view.Tokens = 0
	view.Demand[Key("s", "rare")] = &Demand{Waiting: 1, OldestMs: 50, LastSeen: now}
	loads := find(Plan(view), true, "rare")
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Server, "b")
	assert.Assert(t, !loads[0].Stored)
}

func TestGivenAnyStateThenNoLoadExceedsRoomOrAdapterPlaces(t *testing.T) {
	for shape := range 64 {
		var models []string
		for bit, name := range []string{"hot", "rare", "hot/a1", "hot/a2", "old", "hot/a3"} {
			if shape>>bit&1 == 1 {
				models = append(models, name)
			}
		}
		one := newServer("a", models...)
		view := smallView(one, newServer("b", "hot"))
		for _, name := range []string{"hot/a4", "rare", "old", "hot"} {
			view.Demand[Key("s", name)] = &Demand{Waiting: 1, OldestMs: 10, Rate: 2, LastSeen: now}
		}
		runtime := view.Table.Configuration.Backends[0].Runtime
		if one.size(runtime) > runtime.WeightSizeMb || one.adapters() > runtime.AdapterCapacity {
			continue
		}
		for _, action := range Plan(view) {
			if action.Server != "a" || !action.Load {
				continue
			}
			one.Models[action.Model] = true
			if one.size(runtime) > runtime.WeightSizeMb || one.adapters() > runtime.AdapterCapacity {
				t.Fatalf("shape %d: %s does not fit %v", shape, action.Model, models)
			}
		}
	}
}

func TestGivenASuspectedReplicaThenItsCopiesDoNotCount(t *testing.T) {
	lost := newServer("a", "rare")
	lost.Lost = true
	view := smallView(lost, newServer("b"))
	view.Demand[Key("s", "rare")] = &Demand{Waiting: 1, OldestMs: 50, LastSeen: now}
	loads := find(Plan(view), true, "rare")
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Server, "b")
}

func TestGivenAHolderThatKnowsNoRatesYetThenModelsOnSeveralReplicasStay(t *testing.T) {
	view := smallView(newServer("a", "hot", "old"), newServer("b", "hot", "old"))
	view.Table.Configuration.Backends[0].Runtime.AdapterCapacity = 0
	view.Demand[Key("s", "rare")] = &Demand{Waiting: 1, OldestMs: 50, LastSeen: now}
	view.Learned = false
	unloads := func() int {
		amount := 0
		for _, action := range Plan(view) {
			if !action.Load {
				amount++
			}
		}
		return amount
	}
	assert.Equal(t, unloads(), 0, "busy models stand on many replicas until rates are known")
	view.Learned = true
	assert.Assert(t, unloads() > 0)
}

func TestGivenPromptsThatTakeLongToReadThenTheirCopiesAreKept(t *testing.T) {
	view := smallView(newServer("a", "rare", "old"), newServer("b", "rare", "old"), newServer("c", "rare", "old"))
	view.Table.Configuration.Backends[0].Runtime.AdapterCapacity = 0
	view.Demand[Key("s", "hot")] = &Demand{Waiting: 1, OldestMs: 50, LastSeen: now}
	view.Demand[Key("s", "rare")] = &Demand{Rate: 9, Reading: 0.5, LastSeen: now}
	assert.Equal(t, len(find(Plan(view), false, "rare")), 0)
	assert.Equal(t, len(find(Plan(view), false, "old")), 1)
}
