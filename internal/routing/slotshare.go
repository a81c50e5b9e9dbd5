package routing

import (
	"time"

	"ferryspar/internal/apportion"
)

const (
	// peerLoadTTL is how long the loads of the other data planes are trusted in full; from then on the
	// trust fades, and at peerLoadExpiry they count for nothing.
	peerLoadTTL    = 3 * time.Second
	peerLoadExpiry = 15 * time.Second
	// blindShareFactor is what a data plane without peer loads takes of an even share of the slots.
	blindShareFactor = 2.0
	// minMemoryShare is the least share of the KV memory that a data plane without peer loads may use.
	minMemoryShare = 0.25
)

// peerLoadWeight is how far peer loads of that age are trusted, from 1 down to 0.
func peerLoadWeight(age time.Duration) float64 {
	return min(max(1-float64(age-peerLoadTTL)/float64(peerLoadExpiry-peerLoadTTL), 0), 1)
}

// limitToShare sets the node's capacity and free memory to what this data plane may use. With fresh peer
// loads (trust 1) that is what the others leave; without (trust 0) a share of slots and memory; between,
// a mixture. The fraction of a slot beyond whole ones goes to the data planes by hash fraction. memory is
// the replica's KV memory in tokens, dataPlanes the count of live data planes.
func (n *replicaNode) limitToShare(memory, trust float64, dataPlanes int) {
	slots := float64(n.replica.Slots)
	share := min(blindShareFactor*slots/float64(max(dataPlanes, 1)), slots)
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
	// An empty replica takes a request of any size.
	if n.state.running == 0 && n.peerLoad.Running == 0 {
		n.freeMemory = max(n.freeMemory, memory)
	}
}
