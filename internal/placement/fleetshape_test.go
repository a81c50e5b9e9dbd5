package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ferryspar/internal/configuration"
)

// fleetShape generates random views. active is the share of the models and adapters that are in demand, and waiting is the
// share of those that requests wait for.
type fleetShape struct {
	replicas, models, adapters int
	active, waiting            float64
}

func (s fleetShape) view(seed uint64) *View {
	random := rand.New(rand.NewPCG(seed, 17))
	runtime := &configuration.Runtime{
		Slots:           12 << random.IntN(2),
		WeightSizeMb:    200,
		AdapterCapacity: 4 + random.IntN(5),
		LoadsPerS:       16,
	}
	adaptersLeft := s.adapters
	for index := range s.models {
		model := configuration.Model{
			Name:          fmt.Sprintf("m%04d", index),
			WeightSizeMb:  64 + float64(16*random.IntN(4)),
			LoadTimeS:     4 + float64(random.IntN(3)),
			AdapterSizeMb: 1,
		}
		if adaptersLeft > 0 && random.IntN(4) == 0 {
			model.Adapters = min(adaptersLeft, 1+random.IntN(40))
			adaptersLeft -= model.Adapters
		}
		runtime.Models = append(runtime.Models, model)
	}
	table := configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
		Name:    "s",
		Runtime: runtime,
	}}}, nil)
	view := &View{
		Now:          now,
		Table:        table,
		Demand:       map[string]*Demand{},
		Loading:      map[string]int{},
		DrainedZones: map[string]bool{},
		StoreTokens:  float64(random.IntN(17)),
		DemandKnown:  true,
	}
	for index := range s.replicas {
		view.Servers = append(view.Servers, s.server(random, runtime, index))
	}
	for _, model := range runtime.Models {
		s.addDemand(random, view, model.Name)
		for _, adapter := range adapterNames(model) {
			s.addDemand(random, view, Reference(model.Name, adapter))
		}
	}
	return view
}

func (s fleetShape) server(random *rand.Rand, runtime *configuration.Runtime, index int) *Server {
	server := newServer(fmt.Sprintf("r%03d", index))
	server.Zone = string(rune('a' + random.IntN(3)))
	skewed := func() configuration.Model {
		share := random.Float64()
		return runtime.Models[int(share*share*float64(len(runtime.Models)))]
	}
	for range 1 + random.IntN(4) {
		model := skewed()
		if server.Loaded[model.Name] || server.configuredSize(runtime)+model.WeightSizeMb > runtime.WeightSizeMb {
			continue
		}
		server.Loaded[model.Name], server.OnDisk[model.Name] = true, true
		for range min(model.Adapters, random.IntN(6)) {
			adapter := adapterNames(model)[random.IntN(model.Adapters)]
			fits := server.configuredSize(runtime)+model.AdapterSizeMb <= runtime.WeightSizeMb
			if fits && server.adapterCount() < runtime.AdapterCapacity {
				server.Loaded[Reference(model.Name, adapter)] = true
			}
		}
	}
	for range random.IntN(12) {
		server.OnDisk[skewed().Name] = true
	}
	server.Ready = random.IntN(8) > 0
	return server
}

func (s fleetShape) addDemand(random *rand.Rand, view *View, reference string) {
	if random.Float64() >= s.active {
		return
	}
	demand := &Demand{
		Rate:          float64(random.IntN(64)) / 64,
		LongTermRate:  float64(random.IntN(64)) / 512,
		LastRequestAt: now.Add(-time.Duration(random.IntN(40)) * time.Second),
	}
	if random.IntN(4) == 0 {
		demand.Rate, demand.Running = float64(random.IntN(512))/64, float64(random.IntN(40))
		demand.PrefillLoad = float64(random.IntN(64)) / 64
	}
	if random.Float64() < s.waiting {
		demand.Waiting, demand.OldestWaitMs, demand.LastRequestAt = 1+random.IntN(6), float64(random.IntN(4000)), now
		demand.LoadDueMs = float64(random.IntN(4) * 4000)
	}
	view.Demand[ModelKey("s", reference)] = demand
}
