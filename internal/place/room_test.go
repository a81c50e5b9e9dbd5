package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
)

// roomView is a view of one replica with 100 MB and two places for adapters.
func roomView(server *Server, models ...configuration.Model) *View {
	view := smallView(server)
	view.setRoom(100, 2, models...)
	view.Sizes = NewSizeBook()
	return view
}

// setRoom puts another configuration in force.
func (v *View) setRoom(room float64, capacity int, models ...configuration.Model) {
	v.Table = configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
		Name: "s",
		Runtime: &configuration.Runtime{
			Slots: 10, WeightSizeMb: room, AdapterCapacity: capacity, LoadsPerS: 1, Models: models,
		},
	}}}, nil)
}

func sized(name string, size float64) configuration.Model {
	return configuration.Model{Name: name, WeightSizeMb: size, LoadTimeS: 5, Adapters: 3, AdapterSizeMb: 1}
}

// waitFor has a request wait for a reference.
func (v *View) waitFor(reference string) {
	v.Demand[Key("s", reference)] = &Demand{Waiting: 1, OldestMs: 50, LastSeen: now}
}

func TestGivenAHeldModelThatNoConfigurationNamedThenItGoesBeforeAnyLoad(t *testing.T) {
	server := newServer("a", "gone", "gone/a1")
	view := roomView(server, sized("new", 10))
	view.waitFor("new")
	view.waitFor("gone")
	actions := Plan(view)
	assert.Equal(t, len(actions), 1)
	assert.Assert(t, !actions[0].Load && actions[0].Model == "gone", "%v", actions)
	server.Models = map[string]bool{}
	assert.Equal(t, len(find(Plan(view), true, "new")), 1)
}

func TestGivenADroppedModelThenItCountsWithItsEarlierSizeUntilItIsUnloaded(t *testing.T) {
	for size, loaded := range map[float64]int{20: 1, 20.0005: 0, 20.5: 0, 80: 0} {
		server := newServer("a", "gone")
		view := roomView(server, sized("gone", 80))
		Plan(view)
		view.setRoom(100, 2, sized("new", size))
		view.waitFor("new")
		actions := Plan(view)
		assert.Equal(t, len(find(actions, true, "new")), loaded, "%v: %v", size, actions)
		assert.Equal(t, len(find(actions, false, "gone")), 1-loaded, "%v: %v", size, actions)
	}
}

func TestGivenAResizedModelThenTheLargestSizeCountsWhileItIsHeld(t *testing.T) {
	server := newServer("a", "old")
	view := roomView(server, sized("old", 80), sized("new", 30))
	Plan(view)
	view.setRoom(100, 2, sized("old", 40), sized("new", 30))
	Plan(view)
	view.setRoom(100, 2, sized("old", 50), sized("new", 30))
	view.waitFor("new")
	assert.Equal(t, len(find(Plan(view), true, "new")), 0)
	server.Models = map[string]bool{}
	Plan(view)
	assert.Equal(t, len(view.Sizes.servers), 0, "what nobody holds is forgotten")
	server.Models, server.Intent = map[string]bool{"old": true}, ""
	clear(view.Loading)
	assert.Equal(t, len(find(Plan(view), true, "new")), 1, "loaded again it has the size in force")
}

func TestGivenAnOrderOfUnknownFateThenItsRoomIsTakenAndItIsNoCopy(t *testing.T) {
	server := newServer("a")
	server.MayHold = map[string]bool{"maybe": true}
	view := roomView(server, sized("maybe", 60), sized("new", 60))
	view.waitFor("new")
	assert.Equal(t, len(Plan(view)), 0, "neither room for new nor a victim")
	view.waitFor("maybe")
	assert.Equal(t, len(find(Plan(view), true, "maybe")), 1, "the same load again is harmless")
}

func TestGivenAModelThatMayBeHeldThenItIsNotLoadedElsewhere(t *testing.T) {
	uncertain, other := newServer("a"), newServer("b")
	uncertain.MayHold, uncertain.Ready = map[string]bool{"maybe": true}, false
	view := roomView(uncertain, sized("maybe", 60))
	view.Servers = append(view.Servers, other)
	view.waitFor("maybe")
	assert.Equal(t, len(Plan(view)), 0)
}

func TestGivenAnAdapterThenItIsLoadedOnlyBesideASurelyHeldModelWithAPlace(t *testing.T) {
	type held = map[string]bool
	for name, one := range map[string]struct {
		models, mayHold held
		capacity        int
		fits            bool
	}{
		"model held":                  {held{"old": true}, nil, 2, true},
		"model may be held":           {nil, held{"old": true}, 2, false},
		"places may be taken":         {held{"old": true}, held{"old/a2": true, "old/a3": true}, 2, false},
		"its own place may be taken":  {held{"old": true}, held{"old/a1": true, "old/a3": true}, 2, true},
		"places of unlisted adapters": {held{"old": true, "old/a8": true, "old/a9": true}, nil, 2, false},
		"an adapter without its model": {
			held{"old": true}, held{"new/a1": true}, 1, false,
		},
		"capacity shrunk":            {held{"old": true, "old/a2": true, "old/a3": true}, nil, 1, false},
		"an adapter of unknown size": {held{"old": true}, held{"gone/a1": true}, 3, false},
	} {
		server := newServer("a")
		server.Models, server.MayHold = one.models, one.mayHold
		view := roomView(server, sized("old", 60), sized("new", 30))
		view.Table.Configuration.Backends[0].Runtime.AdapterCapacity = one.capacity
		p := newPlanner(view, NewCatalog(view.Table).backends[0])
		assert.Equal(t, p.load(&p.servers[0], p.number("old/a1"), ""), one.fits, name)
	}
}

func TestGivenAFullReplicaThenAnUnwantedModelMakesWayForAnAdapter(t *testing.T) {
	server := newServer("a", "old", "gone")
	view := roomView(server, sized("old", 60))
	view.Demand[Key("s", "old")] = &Demand{Running: 1, Rate: 1, LastSeen: now}
	view.waitFor("old/a1")
	assert.Equal(t, len(find(Plan(view), false, "gone")), 1)
	delete(server.Models, "gone")
	assert.Equal(t, len(find(Plan(view), true, "old/a1")), 1)
}

func TestGivenNoRoomForAnAdapterWhereItsModelIsThenTheModelIsAddedElsewhere(t *testing.T) {
	full, empty := newServer("a", "old", "busy"), newServer("b")
	view := roomView(full, sized("old", 60), sized("busy", 40))
	view.Servers = append(view.Servers, empty)
	for _, reference := range []string{"old", "busy"} {
		view.Demand[Key("s", reference)] = &Demand{Running: 1, Rate: 1, LastSeen: now}
	}
	view.waitFor("old/a1")
	loads := find(Plan(view), true, "old")
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Server, "b")
	empty.Models = map[string]bool{"old": true}
	clear(view.Loading)
	assert.Equal(t, len(find(Plan(view), true, "old/a1")), 1)
}

func TestGivenDroppedModelsAndAdaptersThenTheyGoFirst(t *testing.T) {
	server := newServer("a", "an-idle-one", "gone")
	view := roomView(server, sized("an-idle-one", 10), sized("new", 70))
	view.waitFor("new")
	assert.Equal(t, len(find(Plan(view), false, "gone")), 1)

	server = newServer("a", "old", "old/a1", "old/a9")
	view = roomView(server, sized("old", 60))
	view.waitFor("old/a2")
	view.waitFor("old/a9")
	assert.Equal(t, len(find(Plan(view), false, "old/a9")), 1)
}

func TestGivenADroppedModelThenNoLoadOfItIsRecorded(t *testing.T) {
	view := roomView(newServer("a"), sized("old", 60))
	p := newPlanner(view, NewCatalog(view.Table).backends[0])
	assert.Assert(t, !p.load(&p.servers[0], p.number("gone"), ""))
	assert.Assert(t, !p.load(&p.servers[0], p.number("old/a9"), ""))
	assert.Assert(t, p.load(&p.servers[0], p.number("old"), ""))
	assert.Assert(t, !p.load(&p.servers[0], p.number("old"), ""), "one action of a plan at each server")
}

func TestGivenAnIntentOrContextOfADroppedModelThenItIsNotLoadedAgain(t *testing.T) {
	server := newServer("a")
	server.Intent, server.Held["gone"] = "gone", true
	view := roomView(server, sized("old", 60))
	view.waitFor("gone")
	assert.Equal(t, len(Plan(view)), 0)
	holder, other := newServer("a", "gone"), newServer("b")
	view.Servers = []*Server{holder, other}
	view.EvictContexts = []ServerModel{{Server: "a", Model: "gone"}}
	actions := Plan(view)
	assert.Equal(t, len(find(actions, true, "gone")), 0)
	assert.Equal(t, len(find(actions, false, "gone")), 1)
}

func TestGivenWhatFitsInUnitsThenNoOrderOfSummingExceedsTheRoom(t *testing.T) {
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
		room := exact + float64(random.IntN(3)-1)/unitsPerMb
		total := roomSize(0)
		for _, size := range sizes {
			total += sizeOf(size)
		}
		if total > roomOf(room) {
			continue
		}
		fitting++
		for range 20 {
			random.Shuffle(len(sizes), func(left, right int) { sizes[left], sizes[right] = sizes[right], sizes[left] })
			sum := 0.0
			for _, size := range sizes {
				sum += size
			}
			assert.Assert(t, sum <= room, fmt.Sprint(sizes, room))
		}
	}
	assert.Assert(t, fitting > 100)
	third := sizeOf(65099.99999999999)
	assert.Assert(t, 3*third <= roomOf(195300) && 3*sizeOf(66.66666666666667) > roomOf(200))
}
