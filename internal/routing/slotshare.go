package routing

import (
	"time"

	"ferryspar/internal/apportion"
)

const (
	// peerLoadTTL is the age up to which the loads of the other data planes have full weight. From then on the
	// weight decreases linearly, to 0 at peerLoadExpiry.
	peerLoadTTL    = 3 * time.Second
	peerLoadExpiry = 15 * time.Second
	// noPeerLoadShareFactor times an even share of the slots is what a data plane without peer loads may use.
	noPeerLoadShareFactor = 2.0
	// minMemoryShare is the least share of the KV memory that a data plane without peer loads may use.
	minMemoryShare = 0.25
)

// peerLoadWeight returns the weight of peer loads of the given age, from 1 down to 0.
func peerLoadWeight(age time.Duration) float64 {
	return min(max(1-float64(age-peerLoadTTL)/float64(peerLoadExpiry-peerLoadTTL), 0), 1)
}

// limitToShare sets the node's capacity and free memory to what this data plane may use. With fresh peer
// loads (trust 1) this is what the other data planes leave free, without (trust 0) a share of the slots and
// the memory, and otherwise a weighted mean of both. Fractions of a slot are rounded by the hash fraction.
// memory is the replica's KV memory in tokens, dataPlanes the number of live data planes.
func (n *replicaNode) limitToShare(memory, trust float64, dataPlanes int) {
	slots := float64(n.replica.Slots)
	share := min(noPeerLoadShareFactor*slots/float64(max(dataPlanes, 1)), slots)
	known := slots - float64(n.peerLoad.Running)
	allowed := apportion.RoundByFraction(trust*known+(1-trust)*share, n.state.hashFraction)
	n.capacity = max(allowed-n.state.running, 0)
	n.fallback = allowed == 0 && trust < 1 && share < 1 && (known > 0 || trust == 0)
	n.designated = allowed > 0
	if n.fallback {
		n.capacity = max(1-n.state.running, 0)
	}
	memoryShare := max(share/max(slots, 1), minMemoryShare)
	n.freeMemory = trust*(memory-n.peerLoad.Tokens) + (1-trust)*memory*memoryShare - n.state.tokens
	// An empty replica accepts a request of any size.
	if n.state.running == 0 && n.peerLoad.Running == 0 {
		n.freeMemory = max(n.freeMemory, memory)
	}
}
