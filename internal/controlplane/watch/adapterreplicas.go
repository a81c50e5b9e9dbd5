package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/discovery"
)

// replicasPerAdapter is the number of replicas per adapter that every subscriber of a divided set is sent. An adapter that is
// loaded on more replicas than that has enough of them in any two cells.
const replicasPerAdapter = 8

// chooseAdapterReplicas chooses, for each adapter of the model, replicas that every subscriber is sent, whatever its cells are. An
// adapter is loaded on a few replicas only. Without them, most data planes would see none, and their requests would wait for a
// further copy, which isn't loaded since there are copies already.
func (s *endpointSet) chooseAdapterReplicas(model string, changedIDs map[string]bool, version uint64) {
	if !s.affectsAdapterReplicas(model, changedIDs) {
		return
	}
	chosen := map[string]*endpointSource{}
	for adapter, replicas := range s.replicasByAdapter(model) {
		for _, replica := range selectAdapterReplicas(adapter, replicas) {
			chosen[replica.listed.ID] = replica
		}
	}
	if !sameAdapterReplicas(s.adapterReplicas, chosen, changedIDs) {
		s.adapterReplicasVersion = version
	}
	s.adapterReplicas = chosen
}

// affectsAdapterReplicas reports whether any of the changed replicas has an adapter or is one of the chosen replicas.
func (s *endpointSet) affectsAdapterReplicas(model string, changedIDs map[string]bool) bool {
	if s.cells == nil {
		return true
	}
	for id := range changedIDs {
		replica := s.endpoints[id]
		if s.adapterReplicas[id] != nil || replica != nil && len(replica.usable[model]) > 0 {
			return true
		}
	}
	return false
}

// replicasByAdapter returns the replicas of the set by the adapters that are loaded on them.
func (s *endpointSet) replicasByAdapter(model string) map[string][]*endpointSource {
	byAdapter := map[string][]*endpointSource{}
	for _, replica := range s.endpoints {
		for _, adapter := range replica.usable[model] {
			byAdapter[adapter] = append(byAdapter[adapter], replica)
		}
	}
	return byAdapter
}

// selectAdapterReplicas returns at most replicasPerAdapter of the replicas with an adapter, ready ones first. They are ordered by a
// hash of both names, so that the choice differs between adapters and is stable when replicas are added or removed.
func selectAdapterReplicas(adapter string, replicas []*endpointSource) []*endpointSource {
	if len(replicas) <= replicasPerAdapter {
		return replicas
	}
	salt := xxhash.Sum64String(adapter)
	rank := func(replica *endpointSource) uint64 { return xxhash.Sum64String(replica.listed.ID) ^ salt }
	slices.SortFunc(replicas, func(left, right *endpointSource) int {
		return cmp.Or(
			cmp.Compare(readyRank(left), readyRank(right)),
			cmp.Compare(rank(left), rank(right)),
		)
	})
	return replicas[:replicasPerAdapter]
}

// readyRank returns 0 for ready replicas and 1 for others.
func readyRank(replica *endpointSource) int {
	if replica.listed.State == discovery.StateReady {
		return 0
	}
	return 1
}

// sameAdapterReplicas reports whether both contain the same replicas and none of them has changed.
func sameAdapterReplicas(before, after map[string]*endpointSource, changedIDs map[string]bool) bool {
	if len(before) != len(after) {
		return false
	}
	for id := range after {
		if before[id] == nil || changedIDs[id] {
			return false
		}
	}
	return true
}

// appendAdapterReplicas adds the chosen replicas with adapters that are not among the given ones already.
func (s *endpointSet) appendAdapterReplicas(replicas []*endpointSource) []*endpointSource {
	if len(s.adapterReplicas) == 0 {
		return replicas
	}
	present := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		present[replica.listed.ID] = true
	}
	for id, replica := range s.adapterReplicas {
		if !present[id] {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}
