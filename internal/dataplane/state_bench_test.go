package dataplane

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

func newBenchState(b *testing.B) (*FleetState, *atomic.Pointer[routing.Snapshot]) {
	settings, err := nodesettings.Parse(nil)
	assert.NilError(b, err)
	settings.Zone, settings.Zones = "north", map[string]string{"north": "land"}
	fleet := &atomic.Pointer[routing.Snapshot]{}
	return NewFleetState(settings, time.Now, fleet, func() {}), fleet
}

const benchSource = "10.0.0.1:7000"

func benchEndpointSets(count, endpoints int, version uint64) []peer.EndpointSet {
	var list []peer.EndpointSet
	for index := range count {
		set := peer.EndpointSet{EndpointKey: peer.EndpointKey{Backend: "writers", Model: fmt.Sprintf("model%04d", index)}, Version: version}
		for position := range endpoints {
			number := index*endpoints + position
			set.Endpoints = append(set.Endpoints, peer.Endpoint{ID: fmt.Sprintf("i-%08x", number), Address: fmt.Sprintf("10.1.%d.%d:8080", number/200, number%200), Zone: "north", Slots: 64, Adapters: []string{"a1"}})
		}
		list = append(list, set)
	}
	return list
}

func subscribeBench(state *FleetState, sets []peer.EndpointSet) {
	source := benchSource
	state.handleWatchResult(watchResult{address: source, sentAt: time.Now(), receivedAt: time.Now(), response: peer.WatchResponse{Member: source, Zone: "north", Incarnation: "1", Linearizable: true, FreshMs: 1000, Version: 1, DataPlaneCount: 80}})
	state.handleSubscribeResult(subscribeResult{source, peer.SubscribeRequest{Sequence: 1, Reset: true}, peer.SubscribeResponse{Incarnation: "1", FreshMs: 1000, EndpointSets: sets}, time.Now(), time.Now(), false})
}

const (
	subscribedSets  = 20
	endpointsPerSet = 3
)

func benchResponses(b *testing.B, response func(turn uint64) peer.WatchResponse) {
	state, fleet := newBenchState(b)
	subscribeBench(state, benchEndpointSets(subscribedSets, endpointsPerSet, 1))
	turn := uint64(1)
	for b.Loop() {
		turn++
		result := watchResult{address: benchSource, sentAt: time.Now(), receivedAt: time.Now(), response: response(turn)}
		if state.handleWatchResult(result) {
			state.publish()
		}
	}
	assert.Assert(b, fleet.Load() != nil)
}

func BenchmarkFleetState_EndpointSetChange(b *testing.B) {
	run := func(sets, endpoints int) func(b *testing.B) {
		return func(b *testing.B) {
			state, fleet := newBenchState(b)
			subscribeBench(state, benchEndpointSets(sets, endpoints, 1))
			changed, turn := benchEndpointSets(1, endpoints, 1), uint64(1)
			for b.Loop() {
				turn++
				changed[0].Version = turn
				if state.handleWatchResult(watchResult{address: benchSource, sentAt: time.Now(), receivedAt: time.Now(), response: peer.WatchResponse{Member: benchSource, Zone: "north", Incarnation: "1", Linearizable: true, FreshMs: 1000, Version: 1, RosterVersion: turn, EndpointSets: changed, DataPlaneCount: 80}}) {
					state.publish()
				}
			}
			assert.Equal(b, len(fleet.Load().Replicas), sets*endpoints)
		}
	}
	for _, sets := range []int{5, 20, 100} {
		b.Run(fmt.Sprintf("parts=%d", sets), run(sets, endpointsPerSet))
	}
	for _, endpoints := range []int{1, 9, 140} {
		b.Run(fmt.Sprintf("holders=%d", endpoints), run(1, endpoints))
	}
}

func BenchmarkFleetState_UnchangedResponse(b *testing.B) {
	for _, edges := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", edges), func(b *testing.B) {
			benchResponses(b, func(turn uint64) peer.WatchResponse {
				return peer.WatchResponse{Member: benchSource, Zone: "north", Incarnation: "1", Linearizable: true, FreshMs: 1000, Version: 1, DataPlaneCount: edges}
			})
		})
	}
}

func BenchmarkFleetState_NewConfiguration(b *testing.B) {
	for _, models := range []int{28, 450, 1600} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			current := configuration.Configuration{Backends: []configuration.Backend{{Name: "writers", Runtime: &configuration.Runtime{Slots: 64}}}}
			for index := range models {
				current.Backends[0].Runtime.Models = append(current.Backends[0].Runtime.Models, configuration.Model{Name: fmt.Sprintf("model%04d", index), WeightSizeMb: 65000, LoadTimeS: 5})
			}
			benchResponses(b, func(turn uint64) peer.WatchResponse {
				b.StopTimer()
				defer b.StartTimer()
				current.Revision = int64(turn)
				document, _ := json.Marshal(current)
				return peer.WatchResponse{Member: benchSource, Zone: "north", Incarnation: "1", Linearizable: true, FreshMs: 1000, Version: turn, Revision: current.Revision, PackedConfiguration: configuration.Compress(document), DataPlaneCount: 80}
			})
		})
	}
}
