package controlplane

import (
	"slices"
	"time"

	"ferryspar/internal/discovery"
)

// endpointSource is what the list says of a replica and which models and adapters it may be used for.
// Entries are replaced, not changed, but for what does not show in parts.
type endpointSource struct {
	listed      discovery.Replica
	warmUpUntil time.Time
	// usableModels are the adapters by model; the empty model stands for the replica itself.
	usable map[string][]string
}

// usableModels are a replica's usable models and adapters, without those being unloaded.
func usableModels(listed discovery.Replica, cordoned map[string]bool) map[string][]string {
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

// isFullyUsable tells whether everything listed may be used.
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

// sameListing tells whether the list says the same of the replica as before.
func (s *endpointSource) sameListing(listed discovery.Replica, warmUpUntil time.Time) bool {
	return sameReplica(s.listed, listed) && closeTimes(s.warmUpUntil, warmUpUntil) && sameModels(s.listed.Models, listed.Models)
}

// sameUsable tells whether two holdings are the same.
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

// sameReplica tells whether two entries say the same of a replica apart from its models and times.
func sameReplica(left, right discovery.Replica) bool {
	return left.ID == right.ID &&
		left.Backend == right.Backend &&
		left.Address == right.Address &&
		left.Zone == right.Zone &&
		left.Revision == right.Revision &&
		left.Slots == right.Slots &&
		left.State == right.State &&
		left.Phase == right.Phase
}

// sameModels tells whether two lists of models are the same, in order too.
func sameModels(former, latter []discovery.LoadedModel) bool {
	return slices.EqualFunc(former, latter, func(left, right discovery.LoadedModel) bool {
		return left.Name == right.Name && left.Revision == right.Revision && slices.Equal(left.Adapters, right.Adapters)
	})
}

// closeTimes tells whether two moments are close enough to count as the same; no moment is like no
// moment only.
func closeTimes(left, right time.Time) bool {
	if left.IsZero() || right.IsZero() {
		return left.IsZero() == right.IsZero()
	}
	apart := left.Sub(right)
	return apart < warmUpTolerance && apart > -warmUpTolerance
}

// warmUpTolerance is how far apart two ends of a cold start may be to count as the same.
const warmUpTolerance = 700 * time.Millisecond
