package demand

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

const (
	// tokenUnit is the unit, in tokens, that packed loads are rounded up to.
	tokenUnit = 100
	// digestShift leaves 52 bits of a digest, which survive JSON readers that keep numbers as floats.
	digestShift = 12
)

// packer packs loads by replica into lists in the order of the roster, which are much shorter than a map by id. Both
// sides must have the same roster, which is checked by a digest of its replica ids. It is safe for concurrent use.
type packer struct {
	// lock guards all fields.
	lock sync.Mutex
	// firstReplica and replicaCount identify the roster that digest and replicaIDs were made of: a roster's
	// slice is never changed in place.
	firstReplica *discovery.Replica
	replicaCount int
	digest       uint64
	replicaIDs   []string
}

// setRoster adopts a roster unless it is the one adopted last. The caller holds the lock.
func (p *packer) setRoster(replicas []discovery.Replica) {
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
	p.digest = hash.Sum64() >> digestShift
}

// pack returns the summary with packed loads, or as it is if the roster lacks one of its replicas.
func (p *packer) pack(summary peer.LoadSummary, replicas []discovery.Replica) peer.LoadSummary {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.setRoster(replicas)
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

// unpack returns packed loads by replica id, or false if they were packed by another roster.
func (p *packer) unpack(packed *peer.PackedLoads, replicas []discovery.Replica) (map[string]peer.ReplicaLoad, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.setRoster(replicas)
	length := max(len(packed.Running), len(packed.Tokens), len(packed.PrefillTokens))
	if packed.Version != p.digest || length > len(p.replicaIDs) {
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

// setAt sets a value in a list, which grows as needed. Zeros at the end are left out.
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

// valueAt returns the value at the index, or 0 beyond the list's end.
func valueAt(values []int, index int) int {
	if index < len(values) {
		return values[index]
	}
	return 0
}
