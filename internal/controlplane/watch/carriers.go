package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/discovery"
)

// carriersPerAdapter is how many replicas with an adapter every subscriber of a divided set is sent. Of an adapter that more
// replicas have, enough are in any two cells.
const carriersPerAdapter = 8

// chooseCarriers chooses, for each adapter of the model, replicas that every subscriber is sent, whatever its cells are. An adapter
// is loaded on a few replicas only: without them most data planes would find it nowhere, and wait for a copy that is not
// loaded, since there are some.
func (s *endpointSet) chooseCarriers(model string, changedIDs map[string]bool, version uint64) {
	if !s.affectsCarriers(model, changedIDs) {
		return
	}
	chosen := map[string]*endpointSource{}
	for adapter, replicas := range s.replicasByAdapter(model) {
		for _, replica := range firstByRank(adapter, replicas) {
			chosen[replica.listed.ID] = replica
		}
	}
	if !sameCarriers(s.carriers, chosen, changedIDs) {
		s.carriersVersion = version
	}
	s.carriers = chosen
}

// affectsCarriers reports whether any of the changed replicas has an adapter, or was a carrier.
func (s *endpointSet) affectsCarriers(model string, changedIDs map[string]bool) bool {
	if s.cells == nil {
		return true
	}
	for id := range changedIDs {
		replica := s.endpoints[id]
		if s.carriers[id] != nil || replica != nil && len(replica.usable[model]) > 0 {
			return true
		}
	}
	return false
}

func (s *endpointSet) replicasByAdapter(model string) map[string][]*endpointSource {
	byAdapter := map[string][]*endpointSource{}
	for _, replica := range s.endpoints {
		for _, adapter := range replica.usable[model] {
			byAdapter[adapter] = append(byAdapter[adapter], replica)
		}
	}
	return byAdapter
}

// firstByRank returns the first replicas with an adapter, ready ones before others, in an order that a hash of both names gives: it
// differs from adapter to adapter, and stays as replicas come and go.
func firstByRank(adapter string, replicas []*endpointSource) []*endpointSource {
	if len(replicas) <= carriersPerAdapter {
		return replicas
	}
	salt := xxhash.Sum64String(adapter)
	rank := func(replica *endpointSource) uint64 { return xxhash.Sum64String(replica.listed.ID) ^ salt }
	slices.SortFunc(replicas, func(left, right *endpointSource) int {
		return cmp.Or(
			cmp.Compare(notReady(left), notReady(right)),
			cmp.Compare(rank(left), rank(right)),
		)
	})
	return replicas[:carriersPerAdapter]
}

func notReady(replica *endpointSource) int {
	if replica.listed.State == discovery.StateReady {
		return 0
	}
	return 1
}

// sameCarriers reports whether both name the same replicas and none of them has changed.
func sameCarriers(before, after map[string]*endpointSource, changedIDs map[string]bool) bool {
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

// appendCarriers adds the carriers that are not among the replicas already.
func (s *endpointSet) appendCarriers(replicas []*endpointSource) []*endpointSource {
	if len(s.carriers) == 0 {
		return replicas
	}
	present := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		present[replica.listed.ID] = true
	}
	for id, replica := range s.carriers {
		if !present[id] {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}
