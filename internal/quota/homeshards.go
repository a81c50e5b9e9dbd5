package quota

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// candidatesPerGroup is the number of data planes that are announced as possible home shards of a group.
const candidatesPerGroup = 8

// Group returns the group that a tenant belongs to.
func (p Parameters) Group(tenant string) int {
	return int(xxhash.Sum64String(tenant) % uint64(p.groupCount()))
}

// groupCount returns the number of groups, at least 1.
func (p Parameters) groupCount() int { return max(p.Groups, 1) }

// Candidates returns the candidatesPerGroup highest ranked data planes of each group, sorted by name without duplicates. A data
// plane that knows only these chooses the same home shards as one that knows all, unless most of them are gone.
func (p Parameters) Candidates(dataPlanes []string) []string {
	var candidates []string
	for group := range p.groupCount() {
		ranked := RankHomeShards(group, dataPlanes)
		candidates = append(candidates, ranked[:min(len(ranked), candidatesPerGroup)]...)
	}
	slices.Sort(candidates)
	return slices.Compact(candidates)
}

// RankHomeShards orders the data planes by preference as home shards of a group, by rendezvous hashing: data planes that are
// in two lists have the same order in both, so that few shares move when the fleet changes.
func RankHomeShards(group int, dataPlanes []string) []string {
	prefix := strconv.Itoa(group) + "\x00"
	weights := make(map[string]uint64, len(dataPlanes))
	for _, dataPlane := range dataPlanes {
		weights[dataPlane] = xxhash.Sum64String(prefix + dataPlane)
	}
	ranked := slices.Clone(dataPlanes)
	slices.SortFunc(ranked, func(left, right string) int {
		return cmp.Or(cmp.Compare(weights[right], weights[left]), cmp.Compare(left, right))
	})
	return ranked
}
