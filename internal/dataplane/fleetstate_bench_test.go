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

const (
	benchControlPlane = "10.0.0.1:7000"
	subscribedSets    = 20
	endpointsPerSet   = 3
)

func newBenchState(b *testing.B) (*FleetState, *atomic.Pointer[routing.Snapshot]) {
	settings, err := nodesettings.Parse(nil)
	assert.NilError(b, err)
	settings.Zone, settings.Zones = "north", map[string]string{"north": "land"}
	snapshot := &atomic.Pointer[routing.Snapshot]{}
	return NewFleetState(FleetStateOptions{Settings: settings, Clock: time.Now, Snapshot: snapshot}), snapshot
}

func benchEndpointSets(count, endpoints int, version uint64) []peer.EndpointSet {
	var sets []peer.EndpointSet
	for index := range count {
		set := peer.EndpointSet{EndpointKey: peer.EndpointKey{Backend: "writers", Model: fmt.Sprintf("model%04d", index)}, Version: version}
		for position := range endpoints {
			number := index*endpoints + position
			set.Endpoints = append(set.Endpoints, peer.Endpoint{
				ID:       fmt.Sprintf("i-%08x", number),
				Address:  fmt.Sprintf("10.1.%d.%d:8080", number/200, number%200),
				Zone:     "north",
				Slots:    64,
				Adapters: []string{"a1"},
			})
		}
		sets = append(sets, set)
	}
	return sets
}

// benchResponse returns a confirmed response to a poll without news.
func benchResponse(dataPlanes int) peer.WatchResponse {
	return peer.WatchResponse{
		Member:         benchControlPlane,
		Zone:           "north",
		Incarnation:    "1",
		Linearizable:   true,
		FreshMs:        1000,
		Version:        1,
		DataPlaneCount: dataPlanes,
	}
}

// handleBenchResponse handles a response and publishes any change, as Run does.
func handleBenchResponse(b *testing.B, state *FleetState, response peer.WatchResponse) {
	now := time.Now()
	result := &watchResult{address: benchControlPlane, sentAt: now, receivedAt: time.Now(), response: response}
	if state.handleWatchResult(b.Context(), result) {
		state.publish()
	}
}

func subscribeBench(b *testing.B, state *FleetState, sets []peer.EndpointSet) {
	state.handleWatchResult(b.Context(), &watchResult{
		address:    benchControlPlane,
		sentAt:     time.Now(),
		receivedAt: time.Now(),
		response:   benchResponse(80),
	})
	state.handleSubscribeResult(&subscribeResult{
		address:    benchControlPlane,
		request:    peer.SubscribeRequest{Sequence: 1, Reset: true},
		response:   peer.SubscribeResponse{Incarnation: "1", FreshMs: 1000, EndpointSets: sets},
		sentAt:     time.Now(),
		receivedAt: time.Now(),
	})
}

func benchResponses(b *testing.B, response func(turn uint64) peer.WatchResponse) {
	state, snapshot := newBenchState(b)
	subscribeBench(b, state, benchEndpointSets(subscribedSets, endpointsPerSet, 1))
	turn := uint64(1)
	for b.Loop() {
		turn++
		handleBenchResponse(b, state, response(turn))
	}
	assert.Assert(b, snapshot.Load() != nil)
}

func BenchmarkFleetState_EndpointSetChange(b *testing.B) {
	run := func(sets, endpoints int) func(b *testing.B) {
		return func(b *testing.B) {
			state, snapshot := newBenchState(b)
			subscribeBench(b, state, benchEndpointSets(sets, endpoints, 1))
			changed, turn := benchEndpointSets(1, endpoints, 1), uint64(1)
			for b.Loop() {
				turn++
				changed[0].Version = turn
				response := benchResponse(80)
				response.RosterVersion, response.EndpointSets = turn, changed
				handleBenchResponse(b, state, response)
			}
			assert.Equal(b, len(snapshot.Load().Replicas), sets*endpoints)
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
	for _, dataPlanes := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("edges=%d", dataPlanes), func(b *testing.B) {
			benchResponses(b, func(uint64) peer.WatchResponse { return benchResponse(dataPlanes) })
		})
	}
}

func BenchmarkFleetState_NewConfiguration(b *testing.B) {
	for _, models := range []int{28, 450, 1600} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			current := benchConfiguration(models)
			benchResponses(b, func(turn uint64) peer.WatchResponse {
				b.StopTimer()
				defer b.StartTimer()
				current.Revision = int64(turn)
				document, _ := json.Marshal(current)
				response := benchResponse(80)
				response.Version, response.Revision = turn, current.Revision
				response.CompressedConfiguration = configuration.Compress(document)
				return response
			})
		})
	}
}

func benchConfiguration(models int) configuration.Configuration {
	runtime := &configuration.Runtime{Slots: 64}
	for index := range models {
		runtime.Models = append(runtime.Models, configuration.Model{
			Name:         fmt.Sprintf("model%04d", index),
			WeightSizeMb: 65000,
			LoadTimeS:    5,
		})
	}
	return configuration.Configuration{Backends: []configuration.Backend{{Name: "writers", Runtime: runtime}}}
}
