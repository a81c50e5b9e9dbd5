package coordinator

import (
	"cmp"

	"ferryspar/internal/apportion"
)

// compareByRank orders nodes for a key by rendezvous hashing, so that a node that leaves or returns only moves its own keys.
func compareByRank(key, left, right string) int {
	if order := cmp.Compare(apportion.HashFraction(right, key), apportion.HashFraction(left, key)); order != 0 {
		return order
	}
	return cmp.Compare(left, right)
}
