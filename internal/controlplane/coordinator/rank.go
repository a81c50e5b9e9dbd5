package coordinator

import (
	"cmp"
	"hash/fnv"
)

// compareByRank orders nodes for one key by rendezvous hashing: a node that leaves or returns moves its own keys only.
func compareByRank(key, left, right string) int {
	if order := cmp.Compare(rank(key, right), rank(key, left)); order != 0 {
		return order
	}
	return cmp.Compare(left, right)
}

func rank(key, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	return mix(hash.Sum64())
}

// mix spreads the bits of a hash (the finalizer of SplitMix64): FNV alone leaves the last bytes in the low bits.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
