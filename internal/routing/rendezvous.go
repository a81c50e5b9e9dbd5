package routing

import "math"

// Replicas keep the shared parts of prompts, but each of many data planes sees few of the requests that share one and so
// can't learn from its own where they are kept. By rendezvous hashing all data planes agree, without a message, on the
// replicas that should keep a prefix (its homes), and the prefix is read there once instead of everywhere.

// mixHash is the finalizer of SplitMix64: it spreads the bits of a number over all of the result.
func mixHash(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// affinityHash is the hash of a prefix and a replica, by which replicas are ranked for the prefix.
func affinityHash(prefix, replica uint64) uint64 { return mixHash(prefix ^ replica) }

// affinityFraction is the hash as a fraction in [0, 1).
func affinityFraction(hash uint64) float64 { return float64(hash) / math.MaxUint64 }

// homes are the two replicas that rank highest for a prefix, by their node; noNode for none.
type homes struct {
	first, second         int
	firstHash, secondHash uint64
}

func newHomes() homes { return homes{first: noNode, second: noNode} }

// add ranks one replica.
func (h *homes) add(node int, hash uint64) {
	switch {
	case h.first == noNode || hash > h.firstHash:
		h.second, h.secondHash = h.first, h.firstHash
		h.first, h.firstHash = node, hash
	case h.second == noNode || hash > h.secondHash:
		h.second, h.secondHash = node, hash
	}
}

const (
	// firstHomeHitRate and secondHomeHitRate are the shares of a shared prefix that its homes are taken to have cached.
	firstHomeHitRate  = 0.9
	secondHomeHitRate = 0.4
)

// hitRate is the share of the prefix that a node is taken to have cached.
func (h *homes) hitRate(node int) float64 {
	switch node {
	case noNode:
		return 0
	case h.first:
		return firstHomeHitRate
	case h.second:
		return secondHomeHitRate
	}
	return 0
}

// sharedPrefix returns the hash and the tokens of the parts of a prompt that other requests may share: all but the last. The
// hash of a prompt without such parts is that of the whole, so that it spreads requests.
func (r *Request) sharedPrefix() (hash uint64, tokens float64) {
	count := len(r.Parts)
	if count == 0 || len(r.PrefixHashes) < count {
		return 0, 0
	}
	if count == 1 {
		return r.PrefixHashes[0], 0
	}
	for _, part := range r.Parts[:count-1] {
		tokens += part.Tokens
	}
	return r.PrefixHashes[count-2], tokens
}
