package controlplane

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// tokenUnit is the unit, in tokens, that packed sums are rounded up to.
const tokenUnit = 100

// loadPacker packs sums as arrays in the order of the replicas' list, in place of a map by id. Both
// sides must hold the same list, which the digest of its ids tells.
type loadPacker struct {
	lock sync.Mutex
	// of is the first entry of the list adopted last, by which it is known again.
	firstReplica *discovery.Replica
	replicaCount int
	digest       uint64
	replicaIDs   []string
}

// adopt orders by a list, unless it is the one adopted last. The caller holds the lock.
func (p *loadPacker) setReplicas(replicas []discovery.Replica) {
	if len(replicas) == 0 || len(replicas) == p.replicaCount && &replicas[0] == p.firstReplica {
		return
	}
	p.firstReplica, p.replicaCount = &replicas[0], len(replicas)
	hash := xxhash.New()
	p.replicaIDs = make([]string, len(replicas))
	for index := range replicas {
		p.replicaIDs[index] = replicas[index].ID
		_, _ = hash.WriteString(replicas[index].ID)
	}
	p.digest = hash.Sum64() >> 12
}

// pack packs a share, or returns it as it is if the list lacks one of its replicas. Any goroutine
// may call it.
func (p *loadPacker) pack(summary peer.LoadSummary, replicas []discovery.Replica) peer.LoadSummary {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.setReplicas(replicas)
	packed := &peer.PackedLoads{Version: p.digest}
	outcomes := map[string]peer.ReplicaLoad{}
	found := 0
	for index, id := range p.replicaIDs {
		load, known := summary.Replicas[id]
		if !known {
			continue
		}
		found++
		packed.Running = setAt(packed.Running, index, load.Running)
		packed.Tokens = setAt(packed.Tokens, index, int(math.Ceil(load.Tokens/tokenUnit)))
		packed.PrefillTokens = setAt(packed.PrefillTokens, index, int(math.Ceil(load.PrefillTokens/tokenUnit)))
		if load.Outcomes != (peer.Outcomes{}) {
			outcomes[id] = peer.ReplicaLoad{Outcomes: load.Outcomes}
		}
	}
	if found < len(summary.Replicas) || len(p.replicaIDs) == 0 {
		return summary
	}
	summary.Replicas, summary.Packed = outcomes, packed
	return summary
}

// setAt sets a value in an array that grows as needed; zeros at the end are left out.
func setAt(values []int, index, value int) []int {
	if value == 0 {
		return values
	}
	for len(values) <= index {
		values = append(values, 0)
	}
	values[index] = value
	return values
}

// open unpacks sums into loads by replica, and reports whether they fit the list held here. Any
// goroutine may call it.
func (p *loadPacker) unpack(packed *peer.PackedLoads, replicas []discovery.Replica) (map[string]peer.ReplicaLoad, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.setReplicas(replicas)
	if packed.Version != p.digest || max(len(packed.Running), len(packed.Tokens), len(packed.PrefillTokens)) > len(p.replicaIDs) {
		return nil, false
	}
	loads := map[string]peer.ReplicaLoad{}
	for index, id := range p.replicaIDs {
		load := peer.ReplicaLoad{
			Running:       valueAt(packed.Running, index),
			Tokens:        tokenUnit * float64(valueAt(packed.Tokens, index)),
			PrefillTokens: tokenUnit * float64(valueAt(packed.PrefillTokens, index)),
		}
		if load != (peer.ReplicaLoad{}) {
			loads[id] = load
		}
	}
	return loads, true
}

// valueAt is an array's value at the index, or 0 beyond its end.
func valueAt(values []int, index int) int {
	if index < len(values) {
		return values[index]
	}
	return 0
}
