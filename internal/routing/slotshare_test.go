package routing

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

// nodeWithPeerLoad returns the node of a replica at which the other data planes run the given number of requests, by peer
// loads of the given age.
func nodeWithPeerLoad(dataPlane string, dataPlanes, running int, age time.Duration) replicaNode {
	fixture := newTestFleet(1, 1, dataPlanes, func(int) int { return running })
	fixture.matcher.replicas.nodeName = dataPlane
	fixture.snapshot.Load().PeerLoadsAt = fixture.now.Add(-age)
	fixture.matcher.useLatestSnapshot()
	return fixture.matcher.buildNode(0, fixture.now)
}

func TestReplicaNode_StalePeerLoadsFadeToShare(t *testing.T) {
	assert.Equal(t, nodeWithPeerLoad("one", 8, 4, 0).capacity, 8)
	assert.Equal(t, nodeWithPeerLoad("one", 8, 4, 3*time.Second).capacity, 8)
	halfway := nodeWithPeerLoad("one", 8, 4, 9*time.Second)
	assert.Assert(t, halfway.capacity >= 5 && halfway.capacity <= 6, "%d", halfway.capacity)
	assert.Equal(t, nodeWithPeerLoad("one", 8, 4, 15*time.Second).capacity, 3)
	assert.Equal(t, nodeWithPeerLoad("one", 8, 4, time.Hour).capacity, 3)
	assert.Equal(t, nodeWithPeerLoad("one", 8, fixtureSlots+3, 3*time.Second).capacity, 0)
	assert.Equal(t, nodeWithPeerLoad("one", 1, 0, time.Hour).capacity, fixtureSlots)
}

func TestReplicaNode_SharesAddUpToTwiceTheSlots(t *testing.T) {
	for _, dataPlanes := range []int{30, 81, 400} {
		total := 0
		for dataPlane := range dataPlanes {
			node := nodeWithPeerLoad("edge-"+strconv.Itoa(dataPlane), dataPlanes, 0, time.Hour)
			assert.Assert(t, node.designated != node.fallback)
			if node.designated {
				total += node.capacity
			}
		}
		assert.Assert(t, total >= fixtureSlots && total <= 3*fixtureSlots, "%d data planes: %d at once", dataPlanes, total)
	}
}

func TestMatcher_FallbackReplicaServesOneRequest(t *testing.T) {
	both, dataPlanes := 0, 400
	for dataPlane := range 40 {
		fixture := newTestFleet(3, 1, dataPlanes, func(int) int { return 0 })
		fixture.matcher.replicas.nodeName = strconv.Itoa(dataPlane)
		fixture.snapshot.Load().PeerLoadsAt = fixture.now.Add(-time.Hour)
		first, second := fixture.request(), fixture.request()
		fixture.matcher.Enqueue(first)
		fixture.matcher.Enqueue(second)
		fixture.matcher.Wake()
		assert.Equal(t, len(first.Decided), 1)
		both += len(second.Decided)
	}
	assert.Assert(t, both < 20, "%d data planes took a second slot", both)
}

func TestReplicaNode_NoFallbackWhenKnownFull(t *testing.T) {
	for dataPlane := range 50 {
		node := nodeWithPeerLoad(strconv.Itoa(dataPlane), 400, fixtureSlots, 5*time.Second)
		assert.Assert(t, !node.fallback)
	}
}

func TestReplicaNode_MemoryLimitedByPeers(t *testing.T) {
	fixture := newTestFleet(1, 1, 81, func(int) int { return 1 })
	backend, _, _ := fixture.snapshot.Load().Table.Backend(fixture.snapshot.Load().Replicas[0].Backend)
	memory := backend.Runtime.KvCacheTokens
	full := map[string]peer.ReplicaLoad{fixture.snapshot.Load().Replicas[0].ID: {Running: 3, Tokens: memory - 100}}
	fixture.snapshot.Load().PeerLoads = full
	fixture.matcher.useLatestSnapshot()
	assert.Equal(t, fixture.matcher.buildNode(0, fixture.now).freeMemory, 100.0)
	fixture.snapshot.Load().PeerLoads = map[string]peer.ReplicaLoad{}
	assert.Equal(t, fixture.matcher.buildNode(0, fixture.now).freeMemory, memory, "an empty replica accepts a request of any size")
}
