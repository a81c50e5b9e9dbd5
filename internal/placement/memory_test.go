package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
)

// singleServerView returns a view of one replica with 100 MB and two adapter slots.
func singleServerView(server *Server, models ...configuration.Model) *View {
	view := smallView(server)
	view.setCapacity(100, 2, models...)
	view.SizeHistory = NewSizeHistory()
	return view
}

// setCapacity replaces the configuration by one with the given memory, adapter slots and models.
func (v *View) setCapacity(memory float64, capacity int, models ...configuration.Model) {
	v.Table = configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
		Name: "s",
		Runtime: &configuration.Runtime{
			Slots: 10, WeightSizeMb: memory, AdapterCapacity: capacity, LoadsPerS: 1, Models: models,
		},
	}}}, nil)
}

func modelOfSize(name string, size float64) configuration.Model {
	return configuration.Model{Name: name, WeightSizeMb: size, LoadTimeS: 5, Adapters: 3, AdapterSizeMb: 1}
}

// addWaitingRequest sets the demand for a reference to one waiting request.
func (v *View) addWaitingRequest(reference string) {
	v.Demand[ModelKey("s", reference)] = &Demand{Waiting: 1, OldestWaitMs: 50, LastRequestAt: now}
}

func TestPlan_UnloadsUnconfiguredModelBeforeLoading(t *testing.T) {
	server := newServer("a", "gone", "gone/a1")
	view := singleServerView(server, modelOfSize("new", 10))
	view.addWaitingRequest("new")
	view.addWaitingRequest("gone")
	actions := Plan(view)
	assert.Equal(t, len(actions), 1)
	assert.Assert(t, !actions[0].Load && actions[0].Model == "gone", "%v", actions)
	server.Loaded = map[string]bool{}
	assert.Equal(t, len(actionsFor(Plan(view), true, "new")), 1)
}

func TestPlan_CountsRemovedModelWithPastSize(t *testing.T) {
	for size, loaded := range map[float64]int{20: 1, 20.0005: 0, 20.5: 0, 80: 0} {
		server := newServer("a", "gone")
		view := singleServerView(server, modelOfSize("gone", 80))
		Plan(view)
		view.setCapacity(100, 2, modelOfSize("new", size))
		view.addWaitingRequest("new")
		actions := Plan(view)
		assert.Equal(t, len(actionsFor(actions, true, "new")), loaded, "%v: %v", size, actions)
		assert.Equal(t, len(actionsFor(actions, false, "gone")), 1-loaded, "%v: %v", size, actions)
	}
}

func TestPlan_CountsLargestSizeWhileLoaded(t *testing.T) {
	server := newServer("a", "old")
	view := singleServerView(server, modelOfSize("old", 80), modelOfSize("new", 30))
	Plan(view)
	view.setCapacity(100, 2, modelOfSize("old", 40), modelOfSize("new", 30))
	Plan(view)
	view.setCapacity(100, 2, modelOfSize("old", 50), modelOfSize("new", 30))
	view.addWaitingRequest("new")
	assert.Equal(t, len(actionsFor(Plan(view), true, "new")), 0)
	server.Loaded = map[string]bool{}
	Plan(view)
	assert.Equal(t, len(view.SizeHistory.servers), 0, "the size of a model that is no longer loaded is dropped")
	server.Loaded, server.Intent = map[string]bool{"old": true}, ""
	clear(view.Loading)
	assert.Equal(t, len(actionsFor(Plan(view), true, "new")), 1, "a model that is loaded again has its configured size")
}

func TestPlan_ReservesMemoryOfUncertainLoad(t *testing.T) {
	server := newServer("a")
	server.MaybeLoaded = map[string]bool{"maybe": true}
	view := singleServerView(server, modelOfSize("maybe", 60), modelOfSize("new", 60))
	view.addWaitingRequest("new")
	assert.Equal(t, len(Plan(view)), 0, "there is neither memory for the new model nor a victim")
	view.addWaitingRequest("maybe")
	assert.Equal(t, len(actionsFor(Plan(view), true, "maybe")), 1, "repeating the uncertain load takes no more memory")
}

func TestPlan_DoesNotDuplicateUncertainLoad(t *testing.T) {
	uncertain, other := newServer("a"), newServer("b")
	uncertain.MaybeLoaded, uncertain.Ready = map[string]bool{"maybe": true}, false
	view := singleServerView(uncertain, modelOfSize("maybe", 60))
	view.Servers = append(view.Servers, other)
	view.addWaitingRequest("maybe")
	assert.Equal(t, len(Plan(view)), 0)
}

func TestPlanner_LoadsAdapterOnlyBesideLoadedModel(t *testing.T) {
	type references = map[string]bool
	for name, testCase := range map[string]struct {
		loaded, maybeLoaded references
		adapterSlots        int
		fits                bool
	}{
		"model loaded":                   {references{"old": true}, nil, 2, true},
		"model may be loaded":            {nil, references{"old": true}, 2, false},
		"slots may be taken":             {references{"old": true}, references{"old/a2": true, "old/a3": true}, 2, false},
		"its own slot may be taken":      {references{"old": true}, references{"old/a1": true, "old/a3": true}, 2, true},
		"slots of unconfigured adapters": {references{"old": true, "old/a8": true, "old/a9": true}, nil, 2, false},
		"an adapter without its model": {
			references{"old": true}, references{"new/a1": true}, 1, false,
		},
		"fewer slots than adapters":  {references{"old": true, "old/a2": true, "old/a3": true}, nil, 1, false},
		"an adapter of unknown size": {references{"old": true}, references{"gone/a1": true}, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := newServer("a")
			server.Loaded, server.MaybeLoaded = testCase.loaded, testCase.maybeLoaded
			view := singleServerView(server, modelOfSize("old", 60), modelOfSize("new", 30))
			view.Table.Configuration.Backends[0].Runtime.AdapterCapacity = testCase.adapterSlots
			p := newPlanner(view, NewCatalog(view.Table).backends[0])
			assert.Equal(t, p.load(&p.servers[0], p.itemNumber("old/a1"), ""), testCase.fits)
		})
	}
}

func TestPlan_EvictsModelForAdapter(t *testing.T) {
	server := newServer("a", "old", "gone")
	view := singleServerView(server, modelOfSize("old", 60))
	view.Demand[ModelKey("s", "old")] = &Demand{Running: 1, Rate: 1, LastRequestAt: now}
	view.addWaitingRequest("old/a1")
	assert.Equal(t, len(actionsFor(Plan(view), false, "gone")), 1)
	delete(server.Loaded, "gone")
	assert.Equal(t, len(actionsFor(Plan(view), true, "old/a1")), 1)
}

func TestPlan_AddsModelCopyForAdapter(t *testing.T) {
	full, empty := newServer("a", "old", "busy"), newServer("b")
	view := singleServerView(full, modelOfSize("old", 60), modelOfSize("busy", 40))
	view.Servers = append(view.Servers, empty)
	for _, reference := range []string{"old", "busy"} {
		view.Demand[ModelKey("s", reference)] = &Demand{Running: 1, Rate: 1, LastRequestAt: now}
	}
	view.addWaitingRequest("old/a1")
	loads := actionsFor(Plan(view), true, "old")
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Server, "b")
	empty.Loaded = map[string]bool{"old": true}
	clear(view.Loading)
	assert.Equal(t, len(actionsFor(Plan(view), true, "old/a1")), 1)
}

func TestPlan_UnloadsUnconfiguredItemsFirst(t *testing.T) {
	server := newServer("a", "an-idle-one", "gone")
	view := singleServerView(server, modelOfSize("an-idle-one", 10), modelOfSize("new", 70))
	view.addWaitingRequest("new")
	assert.Equal(t, len(actionsFor(Plan(view), false, "gone")), 1)

	server = newServer("a", "old", "old/a1", "old/a9")
	view = singleServerView(server, modelOfSize("old", 60))
	view.addWaitingRequest("old/a2")
	view.addWaitingRequest("old/a9")
	assert.Equal(t, len(actionsFor(Plan(view), false, "old/a9")), 1)
}

func TestPlanner_RefusesUnconfiguredLoads(t *testing.T) {
	view := singleServerView(newServer("a"), modelOfSize("old", 60))
	p := newPlanner(view, NewCatalog(view.Table).backends[0])
	assert.Assert(t, !p.load(&p.servers[0], p.itemNumber("gone"), ""))
	assert.Assert(t, !p.load(&p.servers[0], p.itemNumber("old/a9"), ""))
	assert.Assert(t, p.load(&p.servers[0], p.itemNumber("old"), ""))
	assert.Assert(t, !p.load(&p.servers[0], p.itemNumber("old"), ""), "a plan has at most one action per server")
}

func TestPlan_DropsIntentOfUnconfiguredModel(t *testing.T) {
	server := newServer("a")
	server.Intent, server.OnDisk["gone"] = "gone", true
	view := singleServerView(server, modelOfSize("old", 60))
	view.addWaitingRequest("gone")
	assert.Equal(t, len(Plan(view)), 0)
	host, other := newServer("a", "gone"), newServer("b")
	view.Servers = []*Server{host, other}
	view.ContextEvictions = []ModelCopy{{Server: "a", Model: "gone"}}
	actions := Plan(view)
	assert.Equal(t, len(actionsFor(actions, true, "gone")), 0)
	assert.Equal(t, len(actionsFor(actions, false, "gone")), 1)
}

func TestMemoryUnits_SumsNeverExceedCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	fitting := 0
	for range 20000 {
		sizes := make([]float64, 2+random.IntN(5))
		part := random.Float64() * 100000
		exact := 0.0
		for index := range sizes {
			sizes[index] = part + float64(random.IntN(3))/10
			exact += sizes[index]
		}
		capacity := exact + float64(random.IntN(3)-1)/unitsPerMb
		total := memoryUnits(0)
		for _, size := range sizes {
			total += sizeOf(size)
		}
		if total > capacityOf(capacity) {
			continue
		}
		fitting++
		for range 20 {
			random.Shuffle(len(sizes), func(left, right int) { sizes[left], sizes[right] = sizes[right], sizes[left] })
			sum := 0.0
			for _, size := range sizes {
				sum += size
			}
			assert.Assert(t, sum <= capacity, fmt.Sprint(sizes, capacity))
		}
	}
	assert.Assert(t, fitting > 100)
	third := sizeOf(65099.99999999999)
	assert.Assert(t, 3*third <= capacityOf(195300) && 3*sizeOf(66.66666666666667) > capacityOf(200))
}
