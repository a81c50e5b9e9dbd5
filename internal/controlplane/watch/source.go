package watch

import (
	"slices"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// warmUpTolerance is how far apart two ends of a warm-up may be to count as the same: readings of the list differ by
// how long they took.
const warmUpTolerance = 700 * time.Millisecond

// endpointSource is what the roster says of a replica, and which of its models and adapters may be used. Entries are
// replaced rather than changed, but for the parts of listed that no endpoint shows.
type endpointSource struct {
	listed discovery.Replica
	// warmUpUntil is when the replica has warmed up, zero if it has.
	warmUpUntil time.Time
	// usable holds the sorted adapters by model; the empty model stands for the replica itself.
	usable map[string][]string
}

// usableModels returns a replica's models and adapters without those that are cordoned.
func usableModels(listed discovery.Replica, cordoned cordons) map[string][]string {
	usable := make(map[string][]string, len(listed.Models)+1)
	usable[""] = nil
	for _, model := range listed.Models {
		if cordoned[model.Name] {
			continue
		}
		adapters := make([]string, 0, len(model.Adapters))
		for _, adapter := range model.Adapters {
			if !cordoned[model.Name+"/"+adapter] {
				adapters = append(adapters, adapter)
			}
		}
		slices.Sort(adapters)
		usable[model.Name] = adapters
	}
	return usable
}

// key returns the key of the set that the replica belongs to by the model.
func (s *endpointSource) key(model string) peer.EndpointKey {
	return peer.EndpointKey{Backend: s.listed.Backend, Model: model}
}

// endpoint returns the replica as a subscriber to one of its models is sent it.
func (s *endpointSource) endpoint(model string, now time.Time) peer.Endpoint {
	endpoint := peer.Endpoint{
		ID:       s.listed.ID,
		Address:  s.listed.Address,
		Zone:     s.listed.Zone,
		Slots:    s.listed.Slots,
		Draining: s.listed.State == discovery.StateDraining,
		Phase:    s.listed.Phase,
		Adapters: s.usable[model],
	}
	if endpoint.Phase == discovery.PhaseUnified {
		endpoint.Phase = ""
	}
	if remaining := s.warmUpUntil.Sub(now); remaining > 0 {
		// rounded up, so that zero means that it has ended
		endpoint.WarmUpRemainingMs = float64(remaining.Milliseconds() + 1)
	}
	return endpoint
}

// isFullyUsable says whether nothing that is listed is cordoned.
func (s *endpointSource) isFullyUsable() bool {
	if len(s.usable) != len(s.listed.Models)+1 {
		return false
	}
	for _, model := range s.listed.Models {
		if len(s.usable[model.Name]) != len(model.Adapters) {
			return false
		}
	}
	return true
}

// sameListing says whether the roster says the same of the replica as before.
func (s *endpointSource) sameListing(listed discovery.Replica, warmUpUntil time.Time) bool {
	return discovery.SameReplica(s.listed, listed) &&
		closeTimes(s.warmUpUntil, warmUpUntil) &&
		discovery.SameModels(s.listed.Models, listed.Models)
}

// sameEndpoint says whether two sources make the same endpoint, apart from models and adapters.
func (s *endpointSource) sameEndpoint(other *endpointSource) bool {
	return discovery.SameReplica(s.listed, other.listed) && closeTimes(s.warmUpUntil, other.warmUpUntil)
}

// sameUsable says whether two tables of usable models are the same.
func sameUsable(left, right map[string][]string) bool {
	if len(left) != len(right) {
		return false
	}
	for model, adapters := range left {
		if second, known := right[model]; !known || !slices.Equal(adapters, second) {
			return false
		}
	}
	return true
}

// closeTimes says whether two moments are close enough to count as the same. A zero time is close to a zero time only.
func closeTimes(left, right time.Time) bool {
	if left.IsZero() || right.IsZero() {
		return left.IsZero() == right.IsZero()
	}
	apart := left.Sub(right)
	return apart < warmUpTolerance && apart > -warmUpTolerance
}
