package drill

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
)

// fleetView returns a fleet of three replicas and three members in two regions, of which the zone "isle" is lost.
func fleetView() FleetView {
	runtime := &configuration.Runtime{LoadsPerS: 0.5, Models: []configuration.Model{
		{Name: "big", LoadTimeS: 4},
		{Name: "small", LoadTimeS: 1},
		{Name: "idle", LoadTimeS: 1},
	}}
	backends := []configuration.Backend{{Name: "s", Runtime: runtime}}
	replica := func(id, zone string, models ...string) discovery.Replica {
		listed := discovery.Replica{ID: id, Backend: "s", Zone: zone, Slots: 2}
		for _, model := range models {
			listed.Models = append(listed.Models, discovery.LoadedModel{Name: model, Adapters: []string{"a1"}})
		}
		return listed
	}
	return FleetView{
		Scope:      Scope{Zone: "isle"},
		Zones:      map[string]string{"isle": "sea", "reef": "sea", "east": "land"},
		DataPlanes: map[string]string{"one": "east", "two": "isle"},
		Replicas: []discovery.Replica{
			replica("r1", "isle", "big", "small", "idle"),
			replica("r2", "east", "other"),
			{ID: "r3", Backend: "s", Zone: "reef", State: discovery.StateDraining, Models: []discovery.LoadedModel{{Name: "small"}}},
		},
		Table:       configuration.NewTable(configuration.Configuration{Backends: backends}, nil),
		Demand:      map[string]float64{"s big/a1": 2, "s small": 1},
		Members:     []string{"c1", "c2", "c3"},
		MemberZones: map[string]string{"c1": "isle", "c2": "east"},
		LeaseHolder: "c1",
	}
}

func TestMergeForecast_AddsResponsesAndListsMissing(t *testing.T) {
	response := ForecastResponse{
		DataPlane: "one",
		Zone:      "east",
		Ready:     true,
		Replicas:  map[string]ReplicaLoad{"r2": {Running: 1, Moved: 1}},
		InFlight:  InFlight{Running: 3, OnLostReplicas: 1},
	}
	forecast := MergeForecast(fleetView(), []ForecastResponse{response, {DataPlane: "two", Ready: false}})
	assert.Assert(t, forecast.Partial)
	assert.DeepEqual(t, forecast.Missing, []string{"two"})
	assert.DeepEqual(t, forecast.DataPlanesLost, []string{"two"})
	assert.DeepEqual(t, forecast.ReplicasLost, []string{"r1"})
	assert.DeepEqual(t, forecast.Replicas, []ReplicaForecast{{Replica: "r2", Zone: "east", Slots: 2, Running: 1, Moved: 1, Full: true}})
	names := []string{}
	for _, model := range forecast.LostModels {
		names = append(names, model.Model)
	}
	assert.DeepEqual(t, names, []string{"big/a1", "small", "big", "idle", "idle/a1", "small/a1"})
	assert.DeepEqual(t, forecast.LoadEstimate, LoadEstimate{Loads: 3, MinMs: 8000, InDemandLoads: 2, InDemandMinMs: 6000})
	assert.DeepEqual(t, forecast.Control, ControlForecast{
		Members:     []string{"c1", "c2", "c3"},
		Lost:        []string{"c1"},
		UnknownZone: []string{"c3"},
		LeaseMoves:  true,
		LeaseHolder: "c1",
	})
	withoutDataPlanes := fleetView()
	withoutDataPlanes.DataPlanes = map[string]string{}
	assert.Assert(t, MergeForecast(withoutDataPlanes, nil).Partial, "a forecast without any response is partial")
}

func TestLoss_LosesAllRegions(t *testing.T) {
	zones := fleetView().Zones
	cases := []struct {
		scope  Scope
		homes  []string
		wanted bool
	}{
		{Scope{Zone: "isle"}, []string{"sea"}, false},
		{Scope{Region: "sea"}, []string{"sea"}, true},
		{Scope{Region: "sea"}, []string{"sea", "land"}, false},
		{Scope{Region: "sea"}, nil, false},
		{Scope{Zone: "east"}, []string{"land"}, true},
	}
	for _, testCase := range cases {
		assert.Equal(t, Loss{testCase.scope, zones}.LosesAllRegions(testCase.homes), testCase.wanted, "%+v", testCase)
	}
}
