package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"ferryspar/internal/configuration"
)

// randomView returns a small view with suspected, draining and busy servers, intents, unconfigured items, orders of unknown outcome
// and replaced replicas. It is determined by its seed.
func randomView(seed uint64) *View {
	random := rand.New(rand.NewPCG(seed, 3))
	shape := fleetShape{
		replicas: 1 + random.IntN(30),
		models:   1 + random.IntN(50),
		adapters: random.IntN(60),
		active:   random.Float64(),
		waiting:  random.Float64(),
	}
	view := shape.view(seed)
	runtime := view.Table.Configuration.Backends[0].Runtime
	view.DemandKnown = random.IntN(4) > 0
	view.DrainedZones["a"] = random.IntN(6) == 0
	for _, server := range view.Servers {
		server.Draining, server.Suspected = random.IntN(12) == 0, random.IntN(12) == 0
		if random.IntN(6) == 0 {
			server.Intent = runtime.Models[random.IntN(len(runtime.Models))].Name
		}
		if random.IntN(20) == 0 {
			server.Loaded["gone"], server.Loaded["gone/a1"], server.Intent = true, true, "lost"
		}
		for _, reference := range slices.Sorted(maps.Keys(server.Loaded)) {
			if model, adapter := SplitReference(reference); adapter == "" && random.IntN(8) == 0 {
				view.ContextEvictions = append(view.ContextEvictions, ModelCopy{Server: server.ID, Model: model})
			}
		}
	}
	for range random.IntN(4) {
		view.Loading[ModelKey("s", runtime.Models[random.IntN(len(runtime.Models))].Name)]++
	}
	view.Demand[ModelKey("s", "gone")] = &Demand{Rate: 2, Waiting: 1, LastRequestAt: now}
	view.Demand[ModelKey("other", "m0000")] = &Demand{Rate: 9, Waiting: 9, LastRequestAt: now}
	addUncertainty(view, random)
	addPossibleDisks(view, seed)
	return view
}

// addPossibleDisks makes some servers new incarnations at addresses where earlier ones had models loaded.
func addPossibleDisks(view *View, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	models := view.Table.Configuration.Backends[0].Runtime.Models
	view.SpareStoreTokens = view.StoreTokens - float64(random.IntN(4))
	for _, server := range view.Servers {
		if random.IntN(3) > 0 {
			continue
		}
		server.MaybeOnDisk = map[string]bool{}
		for range 1 + random.IntN(4) {
			server.MaybeOnDisk[models[random.IntN(len(models))].Name] = true
		}
		if random.IntN(2) == 0 {
			server.OnDisk = map[string]bool{}
		}
	}
}

// addUncertainty adds to the view a size history, a new configuration that removes and resizes models and changes the
// capacity, and orders of unknown outcome.
func addUncertainty(view *View, random *rand.Rand) {
	view.SizeHistory = NewSizeHistory()
	earlier := view.Table
	if random.IntN(3) > 0 {
		view.SizeHistory.observe(NewCatalog(earlier), view.Servers)
	}
	next := earlier.Configuration.Backends[0]
	runtime := *next.Runtime
	runtime.Models = nil
	for _, model := range next.Runtime.Models {
		if random.IntN(8) == 0 {
			model.WeightSizeMb = 64 + float64(random.IntN(600))/10
		}
		if random.IntN(4) == 0 {
			model.Adapters = random.IntN(model.Adapters + 1)
		}
		if random.IntN(12) > 0 || len(runtime.Models) == 0 {
			runtime.Models = append(runtime.Models, model)
		}
	}
	runtime.WeightSizeMb += float64(random.IntN(3)-1) * 40.1
	runtime.AdapterCapacity += random.IntN(3) - 1
	next.Runtime = &runtime
	view.Table = configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{next}}, nil)
	for _, server := range view.Servers {
		server.MaybeLoaded = map[string]bool{}
		for range random.IntN(12) / 9 {
			model := runtime.Models[random.IntN(len(runtime.Models))]
			server.MaybeLoaded[model.Name] = true
			server.MaybeLoaded[Reference(model.Name, "a1")] = random.IntN(2) == 0
		}
	}
}

func TestPlan_EqualsReferencePlanner(t *testing.T) {
	for seed := range uint64(600) {
		note := fmt.Sprintf("seed %d", seed)
		indexed, reference := randomView(seed), randomView(seed)
		got, want := Plan(indexed), referencePlan(reference)
		assert.Assert(t, cmp.DeepEqual(got, want), note)
		assert.Assert(t, cmp.DeepEqual(indexed.Loading, reference.Loading), note)
		for index := range indexed.Servers {
			assert.Equal(t, indexed.Servers[index].Intent, reference.Servers[index].Intent, note)
		}
		assert.Equal(t, indexed.StoreTokens, reference.StoreTokens, note)
		assert.Equal(t, indexed.SpareStoreTokens, reference.SpareStoreTokens, note)
		assert.Equal(t, indexed.ContextEvictionInProgress, reference.ContextEvictionInProgress, note)
		assert.Assert(t, cmp.DeepEqual(Plan(randomView(seed)), got), note)
	}
}
