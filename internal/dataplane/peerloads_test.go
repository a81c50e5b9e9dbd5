package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

func TestPeerLoads_KeepsLoadOfReplicasSubscribedAfterTheReport(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	busy, idle := peer.ReplicaLoad{Running: 12}, peer.ReplicaLoad{Running: 1}
	var loads peerLoads
	loads.adoptReport(reportedLoad{load: peer.FleetLoad{Replicas: map[string]peer.ReplicaLoad{"i-1": idle}}, sentAt: at(0)}, at(5))
	shared := loads.latest.Replicas
	loads.adoptSubscribed(map[string]peer.ReplicaLoad{"i-2": busy}, at(100))
	t.Run("received with the endpoints", func(t *testing.T) {
		assert.DeepEqual(t, loads.latest.Replicas, map[string]peer.ReplicaLoad{"i-1": idle, "i-2": busy})
		assert.Equal(t, len(shared), 1, "a snapshot that shares the map must not change")
	})
	t.Run("kept after the response to an earlier report", func(t *testing.T) {
		loads.adoptReport(reportedLoad{sentAt: at(90)}, at(110))
		assert.DeepEqual(t, loads.latest.Replicas, map[string]peer.ReplicaLoad{"i-2": busy})
	})
	t.Run("replaced by the response to a later report", func(t *testing.T) {
		loads.adoptReport(reportedLoad{sentAt: at(300)}, at(305))
		assert.Equal(t, len(loads.latest.Replicas), 0)
		assert.Equal(t, len(loads.bySubscription), 0)
	})
}

func TestPeerLoads_FirstSubscriptionCountsAsReceived(t *testing.T) {
	var loads peerLoads
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	loads.adoptSubscribed(nil, now)
	assert.Assert(t, loads.receivedAt.IsZero(), "no load has been received")
	loads.adoptSubscribed(map[string]peer.ReplicaLoad{"i-1": {Running: 3}}, now)
	assert.Equal(t, loads.receivedAt, now)
}
