package watch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/discovery"
)

const (
	// sampleSize is the number of replicas in a sample. Only larger sets are sampled.
	sampleSize = 16
	// samplePerZone is the number of replicas chosen from each zone before the rest of a sample is filled from all zones.
	samplePerZone = 4
)

// resample renews the samples of the sets for whole backends. A set whose sample stays the same is removed from changed: in
// a large fleet some replica of a backend changes all the time, and each change would be sent to every subscriber.
func (p *EndpointPublisher) resample(changed changedKeys) {
	for key := range changed {
		set := p.sets[key]
		if key.Model != "" || set == nil {
			continue
		}
		next := chooseSample(set.endpoints)
		if set.sample != nil && next != nil && maps.EqualFunc(set.sample, next, (*endpointSource).sameEndpoint) {
			delete(changed, key)
		}
		set.sample = next
	}
}

// chooseSample returns a sample of replicas that are ready, warmed up and have a model loaded, spread over zones. The
// choice is stable, as replicas are ordered by a hash of their ids. The sample is nil if there are at most sampleSize
// endpoints, or fewer than sampleSize eligible ones.
func chooseSample(endpoints map[string]*endpointSource) map[string]*endpointSource {
	if len(endpoints) <= sampleSize {
		return nil
	}
	var eligible []*endpointSource
	for _, replica := range endpoints {
		if len(replica.listed.Models) > 0 && replica.listed.State == discovery.StateReady && replica.warmUpUntil.IsZero() {
			eligible = append(eligible, replica)
		}
	}
	if len(eligible) < sampleSize {
		return nil
	}
	slices.SortFunc(eligible, func(left, right *endpointSource) int {
		return cmp.Compare(xxhash.Sum64String(left.listed.ID), xxhash.Sum64String(right.listed.ID))
	})
	chosen := make(map[string]*endpointSource, sampleSize)
	perZone := map[string]int{}
	for _, replica := range eligible {
		zone := replica.listed.Zone
		if perZone[zone]++; perZone[zone] <= samplePerZone {
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
