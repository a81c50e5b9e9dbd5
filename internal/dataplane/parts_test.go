package dataplane

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

type stateHarness struct {
	state *FleetState
	fleet *atomic.Pointer[routing.Snapshot]
	now   time.Time
}

func newStateHarness() *stateHarness {
	harness := &stateHarness{fleet: &atomic.Pointer[routing.Snapshot]{}, now: time.Unix(1000, 0)}
	settings := nodesettings.Settings{NodeName: "edge", Zone: "north", Zones: map[string]string{"north": "land", "south": "land"}}
	harness.state = NewFleetState(settings, func() time.Time { return harness.now }, harness.fleet, func() {})
	return harness
}

func endpointSetOf(model string, version uint64, draining bool, ids ...string) peer.EndpointSet {
	set := peer.EndpointSet{EndpointKey: peer.EndpointKey{Backend: "s", Model: model}, Version: version}
	for _, id := range ids {
		set.Endpoints = append(set.Endpoints, peer.Endpoint{ID: id, Address: "at-" + id, Zone: "south", Slots: 4, Draining: draining})
	}
	return set
}

func (h *stateHarness) respond(address, zone string, roster uint64, sets ...peer.EndpointSet) {
	response := peer.WatchResponse{Incarnation: "life-" + address, Linearizable: true, FreshMs: 1000, Zone: zone, RosterVersion: roster, EndpointSets: sets, RosterAgeMs: 10}
	if h.state.handleWatchResult(watchResult{address: address, response: response, sentAt: h.now, receivedAt: h.now}) {
		h.state.publish()
	}
}

func (h *stateHarness) completeSubscription(address string, complete bool, number uint64, sets ...peer.EndpointSet) {
	request := peer.SubscribeRequest{Sequence: number, Reset: complete}
	for _, set := range sets {
		request.Add = append(request.Add, set.EndpointKey)
	}
	if h.state.handleSubscribeResult(subscribeResult{address: address, request: request, sentAt: h.now, receivedAt: h.now, response: peer.SubscribeResponse{Incarnation: "life-" + address, FreshMs: 1000, RosterVersion: 9, EndpointSets: sets}}) {
		h.state.publish()
	}
}

func (h *stateHarness) models() map[string][]string {
	loaded := map[string][]string{}
	for _, replica := range h.fleet.Load().Replicas {
		for model := range replica.Models {
			loaded[model] = append(loaded[model], replica.ID)
		}
	}
	return loaded
}

func TestFleetState_IgnoresEndpointsBeforeFullSubscription(t *testing.T) {
	harness := newStateHarness()
	harness.respond("near", "north", 7, endpointSetOf("old", 7, false, "i-1"))
	assert.Equal(t, len(harness.models()), 0, "nothing is used before it is followed whole")
	harness.completeSubscription("near", true, 1, endpointSetOf("fresh", 8, false, "i-2"))
	assert.DeepEqual(t, harness.models(), map[string][]string{"fresh": {"i-2"}})
}

func TestFleetState_KeepsNewerEndpointSet(t *testing.T) {
	harness := newStateHarness()
	harness.respond("near", "north", 7)
	harness.completeSubscription("near", true, 1, endpointSetOf("one", 8, true, "i-1"))
	harness.respond("near", "north", 7, endpointSetOf("one", 6, false, "i-1"))
	assert.Assert(t, harness.fleet.Load().Replicas[0].Draining)
	harness.respond("near", "north", 12, endpointSetOf("one", 12, false, "i-1", "i-2"))
	assert.Equal(t, len(harness.models()["one"]), 2)
}

func TestFleetState_TakesReplicaFromNewestEndpointSet(t *testing.T) {
	harness := newStateHarness()
	harness.respond("near", "north", 7)
	harness.completeSubscription("near", true, 1, endpointSetOf("one", 4, false, "i-1"), endpointSetOf("two", 8, true, "i-1"))
	assert.Equal(t, len(harness.fleet.Load().Replicas), 1)
	assert.Assert(t, harness.fleet.Load().Replicas[0].Draining)
	assert.Equal(t, len(harness.fleet.Load().Replicas[0].Models), 2)
}

func TestFleetState_SwitchesPrimaryOnlyOnceComplete(t *testing.T) {
	harness := newStateHarness()
	harness.respond("near", "north", 7)
	harness.completeSubscription("near", true, 1, endpointSetOf("one", 8, false, "i-1"))
	harness.now = harness.now.Add(controlPeerTimeout)
	harness.respond("far", "south", 3, endpointSetOf("one", 3, false, "i-9"))
	harness.state.choosePrimary()
	assert.Equal(t, *harness.state.position.primary.Load(), "far")
	assert.DeepEqual(t, harness.models()["one"], []string{"i-1"})
	harness.completeSubscription("far", true, 1, endpointSetOf("one", 3, false, "i-2"))
	assert.DeepEqual(t, harness.models()["one"], []string{"i-2"})
	harness.respond("near", "north", 20, endpointSetOf("one", 20, false, "i-1"))
	assert.DeepEqual(t, harness.models()["one"], []string{"i-2"})
}

func TestFleetState_KeepsPrimaryThatIsBrieflyBehind(t *testing.T) {
	harness := newStateHarness()
	harness.respond("near", "north", 7)
	harness.completeSubscription("near", true, 1, endpointSetOf("one", 8, false, "i-1"))
	ahead := peer.WatchResponse{Incarnation: "life-far", Linearizable: true, FreshMs: 1000, Zone: "south", Revision: 5}
	harness.state.handleWatchResult(watchResult{address: "far", response: ahead, sentAt: harness.now, receivedAt: harness.now})
	assert.Equal(t, *harness.state.position.primary.Load(), "near")
	harness.now = harness.now.Add(behindTolerance + time.Millisecond)
	harness.state.choosePrimary()
	assert.Equal(t, *harness.state.position.primary.Load(), "far", "the near one stays behind")
}

func TestInterest_DropsLeastRecentlyRequested(t *testing.T) {
	now := time.Unix(1000, 0)
	interest := NewInterest(func() time.Time { return now })
	for index := range maxInterest + 3 {
		now = now.Add(time.Millisecond)
		interest.RecordRequest("s", string(rune('a'+index%26))+time.Duration(index).String())
	}
	add, drop := interest.TakeChanges()
	assert.Equal(t, len(add), maxInterest+3)
	assert.Equal(t, len(drop), 3)
	assert.Equal(t, drop[0], add[0])
	now = now.Add(interestTimeout + time.Second)
	interest.RecordRequest("s", "late")
	add, drop = interest.TakeChanges()
	assert.Equal(t, len(add), 1)
	assert.Equal(t, len(drop), maxInterest)
	assert.DeepEqual(t, interest.All(), add)
}

func TestFleetState_KeepsEdgeCountWhileMembersAreNew(t *testing.T) {
	harness := newStateHarness()
	respond := func(address string, edges int) {
		harness.state.handleWatchResult(watchResult{address: address, response: peer.WatchResponse{Incarnation: address, Linearizable: true, FreshMs: 1000, DataPlaneCount: edges}, sentAt: harness.now, receivedAt: harness.now})
	}
	assert.Equal(t, harness.state.edgeCount(), assumedEdgeCount, "nobody told it")
	respond("near", 80)
	respond("far", 79)
	assert.Equal(t, harness.state.edgeCount(), 80)
	respond("near", 0)
	respond("far", 0)
	assert.Equal(t, harness.state.edgeCount(), 80, "all members are new")
	respond("near", 3)
	assert.Equal(t, harness.state.edgeCount(), 80, "they have not heard of all yet")
	harness.now = harness.now.Add(edgeCountRetention + time.Second)
	respond("near", 60)
	assert.Equal(t, harness.state.edgeCount(), 60)
}
