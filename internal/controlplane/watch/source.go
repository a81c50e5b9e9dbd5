package watch

import (
	"slices"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// warmUpTolerance is the difference up to which two ends of a warm-up count as equal: they vary with the duration of the
// reads of the list.
const warmUpTolerance = 700 * time.Millisecond

// endpointSource is a replica's entry in the roster, with the models and adapters of it that may be used. An endpointSource
// is replaced rather than changed, except for the parts of listed that are not part of any endpoint.
type endpointSource struct {
	listed discovery.Replica
	// warmUpUntil is when the replica's warm-up ends, zero if it was listed as warmed up.
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

// key returns the key of the model's set that the replica belongs to.
func (s *endpointSource) key(model string) peer.EndpointKey {
	return peer.EndpointKey{Backend: s.listed.Backend, Model: model}
}

// endpoint returns the replica as it is sent to subscribers of one of its models.
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
		// Rounded up, so that zero means that the warm-up has ended.
		endpoint.WarmUpRemainingMs = float64(remaining.Milliseconds() + 1)
	}
	return endpoint
}

// hasNoCordons reports whether none of the listed models and adapters is cordoned.
func (s *endpointSource) hasNoCordons() bool {
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

// sameListing reports whether a replica's new entry in the roster equals the previous one.
func (s *endpointSource) sameListing(listed discovery.Replica, warmUpUntil time.Time) bool {
	return discovery.SameReplica(s.listed, listed) &&
		nearlyEqualTimes(s.warmUpUntil, warmUpUntil) &&
		discovery.SameModels(s.listed.Models, listed.Models)
}

// sameEndpoint reports whether two sources give the same endpoint, apart from models and adapters.
func (s *endpointSource) sameEndpoint(other *endpointSource) bool {
	return discovery.SameReplica(s.listed, other.listed) && nearlyEqualTimes(s.warmUpUntil, other.warmUpUntil)
}

// sameUsable reports whether two tables of usable models are equal.
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

// nearlyEqualTimes reports whether two times differ by less than warmUpTolerance. A zero time only equals a zero time.
func nearlyEqualTimes(left, right time.Time) bool {
	if left.IsZero() || right.IsZero() {
		return left.IsZero() == right.IsZero()
	}
	apart := left.Sub(right)
	return apart < warmUpTolerance && apart > -warmUpTolerance
}
