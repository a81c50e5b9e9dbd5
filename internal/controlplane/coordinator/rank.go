package coordinator

import (
	"cmp"

	"ferryspar/internal/apportion"
)

// compareByRank orders nodes for one key by rendezvous hashing: a node that leaves or returns moves its own keys only.
func compareByRank(key, left, right string) int {
	if order := cmp.Compare(apportion.HashFraction(right, key), apportion.HashFraction(left, key)); order != 0 {
		return order
	}
	return cmp.Compare(left, right)
}
