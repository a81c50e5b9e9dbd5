package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

func TestFleetState_IgnoresEndpointsBeforeFullSubscription(t *testing.T) {
	harness := newZonedHarness(t)
	harness.respondWithEndpoints("near", "north", 7, endpointSetOf("old", 7, false, "i-1"))
	assert.Equal(t, len(harness.replicasByModel()), 0, "endpoints are not used before the subscription is complete")
	harness.subscribed("near", endpointSetOf("fresh", 8, false, "i-2"))
	assert.DeepEqual(t, harness.replicasByModel(), map[string][]string{"fresh": {"i-2"}})
}

func TestFleetState_KeepsNewerEndpointSet(t *testing.T) {
	harness := newZonedHarness(t)
	harness.respondWithEndpoints("near", "north", 7)
	harness.subscribed("near", endpointSetOf("one", 8, true, "i-1"))
	harness.respondWithEndpoints("near", "north", 7, endpointSetOf("one", 6, false, "i-1"))
	assert.Assert(t, harness.snapshot.Load().Replicas[0].Draining)
	harness.respondWithEndpoints("near", "north", 12, endpointSetOf("one", 12, false, "i-1", "i-2"))
	assert.Equal(t, len(harness.replicasByModel()["one"]), 2)
}

func TestFleetState_TakesReplicaFromNewestEndpointSet(t *testing.T) {
	harness := newZonedHarness(t)
	harness.respondWithEndpoints("near", "north", 7)
	harness.subscribed("near", endpointSetOf("one", 4, false, "i-1"), endpointSetOf("two", 8, true, "i-1"))
	assert.Equal(t, len(harness.snapshot.Load().Replicas), 1)
	assert.Assert(t, harness.snapshot.Load().Replicas[0].Draining)
	assert.Equal(t, len(harness.snapshot.Load().Replicas[0].Models), 2)
}

func TestFleetState_SwitchesPrimaryOnlyOnceComplete(t *testing.T) {
	harness := newZonedHarness(t)
	harness.respondWithEndpoints("near", "north", 7)
	harness.subscribed("near", endpointSetOf("one", 8, false, "i-1"))
	harness.advance(controlPeerTimeout)
	harness.respondWithEndpoints("far", "south", 3, endpointSetOf("one", 3, false, "i-9"))
	harness.state.choosePrimary()
	assert.Equal(t, harness.state.Primary(), "far")
	assert.DeepEqual(t, harness.replicasByModel()["one"], []string{"i-1"})
	harness.subscribed("far", endpointSetOf("one", 3, false, "i-2"))
	assert.DeepEqual(t, harness.replicasByModel()["one"], []string{"i-2"})
	harness.respondWithEndpoints("near", "north", 20, endpointSetOf("one", 20, false, "i-1"))
	assert.DeepEqual(t, harness.replicasByModel()["one"], []string{"i-2"})
}

func TestFleetState_KeepsPrimaryThatIsBrieflyBehind(t *testing.T) {
	harness := newZonedHarness(t)
	harness.respondWithEndpoints("near", "north", 7)
	harness.subscribed("near", endpointSetOf("one", 8, false, "i-1"))
	ahead := peer.WatchResponse{Incarnation: "life-far", Linearizable: true, FreshMs: 1000, Zone: "south", Revision: 5}
	harness.respond("far", ahead)
	assert.Equal(t, harness.state.Primary(), "near")
	harness.advance(behindTolerance + time.Millisecond)
	harness.state.choosePrimary()
	assert.Equal(t, harness.state.Primary(), "far", "the near one has been behind for too long")
}

func TestFleetState_KeepsDataPlaneCountWhileMembersAreNew(t *testing.T) {
	harness := newZonedHarness(t)
	respond := func(address string, dataPlanes int) {
		harness.respond(address, peer.WatchResponse{Incarnation: address, Linearizable: true, FreshMs: 1000, DataPlaneCount: dataPlanes})
	}
	dataPlaneCount := func() int { return harness.state.controlPeers.dataPlaneCount(harness.now) }
	assert.Equal(t, dataPlaneCount(), assumedDataPlaneCount, "no number has been reported")
	respond("near", 80)
	respond("far", 79)
	assert.Equal(t, dataPlaneCount(), 80)
	respond("near", 0)
	respond("far", 0)
	assert.Equal(t, dataPlaneCount(), 80, "all members have just started")
	respond("near", 3)
	assert.Equal(t, dataPlaneCount(), 80, "the members have not heard from all data planes yet")
	harness.advance(countRetention + time.Second)
	respond("near", 60)
	assert.Equal(t, dataPlaneCount(), 60)
}
