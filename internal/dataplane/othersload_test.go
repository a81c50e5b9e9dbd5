package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

func TestOthersLoad_KeepsLoadOfReplicasSubscribedAfterTheReport(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	busy, idle := peer.ReplicaLoad{Running: 12}, peer.ReplicaLoad{Running: 1}
	var others othersLoad
	others.adoptReport(reportedLoad{load: peer.FleetLoad{Replicas: map[string]peer.ReplicaLoad{"i-1": idle}}, sentAt: at(0)}, at(5))
	shared := others.latest.Replicas
	others.adoptSubscribed(map[string]peer.ReplicaLoad{"i-2": busy}, at(100))
	t.Run("known with the endpoints", func(t *testing.T) {
		assert.DeepEqual(t, others.latest.Replicas, map[string]peer.ReplicaLoad{"i-1": idle, "i-2": busy})
		assert.Equal(t, len(shared), 1, "a snapshot that shares the map must not change")
	})
	t.Run("kept by the answer to an earlier report", func(t *testing.T) {
		others.adoptReport(reportedLoad{sentAt: at(90)}, at(110))
		assert.DeepEqual(t, others.latest.Replicas, map[string]peer.ReplicaLoad{"i-2": busy})
	})
	t.Run("replaced by the answer to a later one", func(t *testing.T) {
		others.adoptReport(reportedLoad{sentAt: at(300)}, at(305))
		assert.Equal(t, len(others.latest.Replicas), 0)
		assert.Equal(t, len(others.bySubscription), 0)
	})
}

func TestOthersLoad_FirstSubscriptionCountsAsReceived(t *testing.T) {
	var others othersLoad
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	others.adoptSubscribed(nil, now)
	assert.Assert(t, others.receivedAt.IsZero(), "nothing is known")
	others.adoptSubscribed(map[string]peer.ReplicaLoad{"i-1": {Running: 3}}, now)
	assert.Equal(t, others.receivedAt, now)
}
