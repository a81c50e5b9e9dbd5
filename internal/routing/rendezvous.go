package routing

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

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

// candidateCount is how many replicas are weighed for a request. All data planes see the same loads, some tenths of a second old:
// if each chose the least loaded of all replicas, all would choose the same one. Of a few that the hash names, each prefix has
// others.
const candidateCount = 4

// candidates are the replicas that rank highest for a prefix, by their node, the highest first.
type candidates struct {
	nodes  [candidateCount]int
	hashes [candidateCount]uint64
	count  int
}

// add ranks one replica.
func (c *candidates) add(node int, hash uint64) {
	at := c.count
	for at > 0 && hash > c.hashes[at-1] {
		at--
	}
	if at == candidateCount {
		return
	}
	c.count = min(c.count+1, candidateCount)
	copy(c.nodes[at+1:c.count], c.nodes[at:])
	copy(c.hashes[at+1:c.count], c.hashes[at:])
	c.nodes[at], c.hashes[at] = node, hash
}

// zoneCandidates are the candidates of each zone.
type zoneCandidates map[string]*candidates

// add ranks a decode replica for a request, unless it has no slot or no memory for it.
func (z zoneCandidates) add(node *replicaNode, index int, row *requestRow) {
	if node.capacity <= 0 || row.request.TotalTokens() > node.freeMemory {
		return
	}
	ranked := z[node.replica.Zone]
	if ranked == nil {
		ranked = &candidates{}
		z[node.replica.Zone] = ranked
	}
	ranked.add(index, affinityHash(row.spreadHash, node.state.idHash))
}

// nodes returns all candidates in ascending order.
func (z zoneCandidates) nodes() []int {
	var nodes []int
	for _, ranked := range z {
		nodes = append(nodes, ranked.nodes[:ranked.count]...)
	}
	slices.Sort(nodes)
	return nodes
}

// homeHitRates are the shares of a shared prefix that its candidates are taken to have cached, by rank: most requests go to the
// first one, and others only while that is busy.
var homeHitRates = [candidateCount]float64{0.9, 0.4, 0.1, 0}

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

// ownHash is a hash of the request's whole prompt, or of its attempt if it names no parts.
func (r *Request) ownHash() uint64 {
	if count := len(r.PrefixHashes); count > 0 {
		return r.PrefixHashes[count-1]
	}
	return xxhash.Sum64String(r.AttemptID)
}
