package dataplane

import (
	"sync/atomic"
	"testing"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// stateHarness is a FleetState with a clock of its own, and the control plane that it watches.
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

// newZonedHarness is a harness of a data plane in the zone north, beside the zone south.
func newZonedHarness(t *testing.T) *stateHarness {
	return newStateHarness(t, nodesettings.Settings{
		NodeName: "edge",
		Zone:     "north",
		Zones:    map[string]string{"north": "land", "south": "land"},
	})
}

func (h *stateHarness) advance(duration time.Duration) { h.now = h.now.Add(duration) }

// respond hands the state a response of a control-plane node to a poll, and publishes what it changes.
func (h *stateHarness) respond(address string, response peer.WatchResponse) {
	result := &watchResult{address: address, response: response, sentAt: h.now, receivedAt: h.now}
	if h.state.handleWatchResult(h.t.Context(), result) {
		h.state.publish()
	}
}

// respondWithEndpoints responds from a zone, with endpoint sets as of a version of the roster.
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

// subscribed hands the state the response to a request for all endpoints.
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

// replicasByModel are the ids of the replicas in use by the models that they have loaded.
func (h *stateHarness) replicasByModel() map[string][]string {
	loaded := map[string][]string{}
	for _, replica := range h.snapshot.Load().Replicas {
		for model := range replica.Models {
			loaded[model] = append(loaded[model], replica.ID)
		}
	}
	return loaded
}

// endpointSetOf is the endpoint set of a model at a version, with the replicas of those ids.
func endpointSetOf(model string, version uint64, draining bool, ids ...string) peer.EndpointSet {
	set := peer.EndpointSet{EndpointKey: peer.EndpointKey{Backend: "s", Model: model}, Version: version}
	for _, id := range ids {
		set.Endpoints = append(set.Endpoints, peer.Endpoint{ID: id, Address: "at-" + id, Zone: "south", Slots: 4, Draining: draining})
	}
	return set
}
