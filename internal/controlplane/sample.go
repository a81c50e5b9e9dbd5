package controlplane

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/peer"
)

const (
	// sampleSize is the number of replicas in a sample, and from which on one is taken.
	sampleSize = 16
	// samplePerZone is how many replicas of a zone a sample takes at first.
	samplePerZone = 4
)

// resample renews the samples of whole backends; a sample that is the same as before no longer
// counts as touched.
func (p *EndpointPublisher) resample(changed map[peer.EndpointKey]bool) {
	for key := range changed {
		set := p.sets[key]
		if key.Model != "" || set == nil {
			continue
		}
		next := chooseSample(set.endpoints)
		if set.sample != nil && next != nil && maps.EqualFunc(set.sample, next, sameEndpoint) {
			delete(changed, key)
		}
		set.sample = next
	}
}

// sameEndpoint tells whether followers would be told the same.
func sameEndpoint(left, right *endpointSource) bool {
	return sameReplica(left.listed, right.listed) && closeTimes(left.warmUpUntil, right.warmUpUntil)
}

// chooseSample chooses replicas that are ready, warm and hold models, spread over zones and steady by the
// hash of their ids. It is nil if there are too few holders or too few fit to be chosen.
func chooseSample(endpoints map[string]*endpointSource) map[string]*endpointSource {
	if len(endpoints) <= sampleSize {
		return nil
	}
	var eligible []*endpointSource
	for _, replica := range endpoints {
		if len(replica.listed.Models) == 0 {
			continue
		}
		if replica.listed.State == "ready" && replica.warmUpUntil.IsZero() {
			eligible = append(eligible, replica)
		}
	}
	if len(eligible) < sampleSize {
		return nil
	}
	slices.SortFunc(eligible, func(left, right *endpointSource) int {
		replica := xxhash.Sum64String(left.listed.ID)
		other := xxhash.Sum64String(right.listed.ID)
		if replica < other {
			return -1
		}
		return 1
	})
	chosen := make(map[string]*endpointSource, sampleSize)
	zones := map[string]int{}
	for _, replica := range eligible {
		if zones[replica.listed.Zone]++; zones[replica.listed.Zone] <= samplePerZone {
			chosen[replica.listed.ID] = replica
		}
	}
	for _, replica := range eligible {
		if len(chosen) >= sampleSize {
			break
		}
		chosen[replica.listed.ID] = replica
	}
	return chosen
}
