package demand

import (
	"sync"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// packer packs loads by replica in the order of the roster. Sender and receiver must have the same roster, which is
// checked by a digest of its replica ids. It is safe for concurrent use.
type packer struct {
	// lock guards all fields.
	lock sync.Mutex
	// firstReplica and replicaCount identify the roster from which ids was made: a roster's slice is never changed in place.
	firstReplica *discovery.Replica
	replicaCount int
	ids          peer.ReplicaIDs
}

// rosterIDs returns the ids of a roster, or those of the previous one if it is empty.
func (p *packer) rosterIDs(replicas []discovery.Replica) peer.ReplicaIDs {
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(replicas) == 0 || len(replicas) == p.replicaCount && &replicas[0] == p.firstReplica {
		return p.ids
	}
	p.firstReplica, p.replicaCount = &replicas[0], len(replicas)
	ids := make([]string, len(replicas))
	for index := range replicas {
		ids[index] = replicas[index].ID
	}
	p.ids = peer.NewReplicaIDs(ids)
	return p.ids
}

// pack returns the summary with packed loads, or unchanged if the roster lacks one of its replicas.
func (p *packer) pack(summary peer.LoadSummary, replicas []discovery.Replica) peer.LoadSummary {
	packed, complete := peer.PackLoads(p.rosterIDs(replicas), summary.Replicas)
	if !complete {
		return summary
	}
	summary.Replicas, summary.Packed = peer.OutcomesOnly(summary.Replicas), packed
	return summary
}

// unpack returns packed loads by replica id, or false if they were packed by a different roster.
func (p *packer) unpack(packed *peer.PackedLoads, replicas []discovery.Replica) (map[string]peer.ReplicaLoad, bool) {
	return packed.Unpack(p.rosterIDs(replicas))
}
