package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replicas cache the shared prefixes of prompts, but each of many data planes sees only few of the requests that share a prefix
// and cannot learn from its own requests where it is cached. By rendezvous hashing all data planes agree, without
// communication, on the replicas that should cache a prefix, so that it is prefilled there once instead of everywhere.

// mixHash is the finalizer of SplitMix64, by which each bit of the input affects all bits of the result.
func mixHash(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// affinityHash returns the hash of a prefix and a replica by which replicas are ranked for the prefix.
func affinityHash(prefix, replica uint64) uint64 { return mixHash(prefix ^ replica) }

// candidateCount is the number of replicas that are considered for a request. All data planes see the same loads, some tenths of
// a second old: if each chose the least loaded of all replicas, all would choose the same one. Different prefixes have
// different candidates.
const candidateCount = 4

// candidates are the nodes of the replicas that rank highest for a hash, the highest first.
type candidates struct {
	nodes  [candidateCount]int
	hashes [candidateCount]uint64
	count  int
}

// add inserts a replica by its hash and keeps the highest candidateCount ones.
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

// add ranks a decode replica for a request, unless it has no slot or not enough memory for it.
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

// nodes returns the nodes of all candidates, in ascending order.
func (z zoneCandidates) nodes() []int {
	var nodes []int
	for _, ranked := range z {
		nodes = append(nodes, ranked.nodes[:ranked.count]...)
	}
	slices.Sort(nodes)
	return nodes
}

// expectedHitRates are the shares of a shared prefix that its candidates are assumed to have cached, by rank: most requests are
// sent to the first one, and to the others only while it is busy.
var expectedHitRates = [candidateCount]float64{0.9, 0.4, 0.1, 0}

// sharedPrefix returns the hash and the tokens of the prefix that other requests may share: all parts but the last. For a
// prompt of one part it returns the hash of that part, so that such requests are spread over replicas.
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

// ownHash returns a hash of the request's whole prompt, or of its attempt id if the prompt has no parts.
func (r *Request) ownHash() uint64 {
	if count := len(r.PrefixHashes); count > 0 {
		return r.PrefixHashes[count-1]
	}
	return xxhash.Sum64String(r.AttemptID)
}
