package roster

import (
	"maps"
	"slices"

	"ferryspar/internal/discovery"
)

// diff returns the entries of next that are new or differ from those of base, and the ids that are only in base.
func diff(base, next []discovery.Replica) (changed []discovery.Replica, removed []string) {
	previous := map[string]discovery.Replica{}
	for _, replica := range base {
		previous[replica.ID] = replica
	}
	for _, replica := range next {
		if before, known := previous[replica.ID]; !known || !sameEntry(before, replica) {
			changed = append(changed, replica)
		}
		delete(previous, replica.ID)
	}
	return changed, slices.Sorted(maps.Keys(previous))
}

// sameEntry reports whether two entries are equal in all fields.
func sameEntry(left, right discovery.Replica) bool {
	if (left.TimeLeftMs == nil) != (right.TimeLeftMs == nil) {
		return false
	}
	if left.TimeLeftMs != nil && *left.TimeLeftMs != *right.TimeLeftMs {
		return false
	}
	return discovery.SameReplica(left, right) &&
		left.WarmUpRemainingMs == right.WarmUpRemainingMs &&
		discovery.SameModels(left.Models, right.Models)
}

// applyDiff applies a difference to a base. The result is ordered by id.
func applyDiff(base, changed []discovery.Replica, removed []string) []discovery.Replica {
	merged := map[string]discovery.Replica{}
	for _, replica := range base {
		merged[replica.ID] = replica
	}
	for _, replica := range changed {
		merged[replica.ID] = replica
	}
	for _, id := range removed {
		delete(merged, id)
	}
	return slices.SortedFunc(maps.Values(merged), byID)
}
