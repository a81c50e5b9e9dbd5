package dataplane

import (
	"sync/atomic"
	"testing"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// stateHarness is a FleetState with a manual clock, to which tests deliver responses of a control plane.
type stateHarness struct {
	t        *testing.T
	state    *FleetState
	snapshot *atomic.Pointer[routing.Snapshot]
	now      time.Time
}

func newStateHarness(t *testing.T, settings nodesettings.Settings) *stateHarness {
	harness := &stateHarness{t: t, snapshot: &atomic.Pointer[routing.Snapshot]{}, now: time.Unix(1000, 0)}
	harness.state = NewFleetState(FleetStateOptions{
		Settings: settings,
		Clock:    func() time.Time { return harness.now },
		Snapshot: harness.snapshot,
	})
	return harness
}

// newZonedHarness returns a harness for a data plane in the zone north; the other zone is south.
func newZonedHarness(t *testing.T) *stateHarness {
	return newStateHarness(t, nodesettings.Settings{
		NodeName: "edge",
		Zone:     "north",
		Zones:    map[string]string{"north": "land", "south": "land"},
	})
}

func (h *stateHarness) advance(duration time.Duration) { h.now = h.now.Add(duration) }

// respond delivers a control-plane node's response to a poll and publishes any change.
func (h *stateHarness) respond(address string, response peer.WatchResponse) {
	result := &watchResult{address: address, response: response, sentAt: h.now, receivedAt: h.now}
	if h.state.handleWatchResult(h.t.Context(), result) {
		h.state.publish()
	}
}

// respondWithEndpoints delivers a response from a control-plane node in the zone, with endpoint sets as of a roster version.
func (h *stateHarness) respondWithEndpoints(address, zone string, roster uint64, sets ...peer.EndpointSet) {
	h.respond(address, peer.WatchResponse{
		Incarnation:   "life-" + address,
		Linearizable:  true,
		FreshMs:       1000,
		Zone:          zone,
		RosterVersion: roster,
		EndpointSets:  sets,
		RosterAgeMs:   10,
	})
}

// subscribed delivers the response to a subscribe request for all endpoints.
func (h *stateHarness) subscribed(address string, sets ...peer.EndpointSet) {
	request := peer.SubscribeRequest{Sequence: 1, Reset: true}
	for _, set := range sets {
		request.Add = append(request.Add, set.EndpointKey)
	}
	changed := h.state.handleSubscribeResult(&subscribeResult{
		address:    address,
		request:    request,
		response:   peer.SubscribeResponse{Incarnation: "life-" + address, FreshMs: 1000, RosterVersion: 9, EndpointSets: sets},
		sentAt:     h.now,
		receivedAt: h.now,
	})
	if changed {
		h.state.publish()
	}
}

// replicasByModel returns the ids of the replicas in use, by loaded model.
func (h *stateHarness) replicasByModel() map[string][]string {
	loaded := map[string][]string{}
	for _, replica := range h.snapshot.Load().Replicas {
		for model := range replica.Models {
			loaded[model] = append(loaded[model], replica.ID)
		}
	}
	return loaded
}

// endpointSetOf returns the endpoint set of a model at a version, with replicas of the given ids.
func endpointSetOf(model string, version uint64, draining bool, ids ...string) peer.EndpointSet {
	set := peer.EndpointSet{EndpointKey: peer.EndpointKey{Backend: "s", Model: model}, Version: version}
	for _, id := range ids {
		set.Endpoints = append(set.Endpoints, peer.Endpoint{ID: id, Address: "at-" + id, Zone: "south", Slots: 4, Draining: draining})
	}
	return set
}
