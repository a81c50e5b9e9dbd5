package quota

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Group returns the group that a tenant belongs to.
func (p Parameters) Group(tenant string) int {
	return int(xxhash.Sum64String(tenant) % uint64(max(p.Groups, 1)))
}

// candidatesPerGroup is how many data planes are told of as possible homes of a group.
const candidatesPerGroup = 8

// Candidates returns the members, in order of their names, that come first for some group: whoever knows these
// picks the same homes as who knows all, unless most of them are gone.
func (p Parameters) Candidates(members []string) []string {
	var candidates []string
	for group := range max(p.Groups, 1) {
		ranked := Rank(group, members)
		candidates = append(candidates, ranked[:min(len(ranked), candidatesPerGroup)]...)
	}
	slices.Sort(candidates)
	return slices.Compact(candidates)
}

// Rank orders the members by how they are preferred as homes of a group (rendezvous hashing): where two
// lists differ, the members in both keep their order.
func Rank(group int, members []string) []string {
	prefix := strconv.Itoa(group) + "\x00"
	weights := make(map[string]uint64, len(members))
	for _, member := range members {
		weights[member] = xxhash.Sum64String(prefix + member)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(left, right string) int {
		return cmp.Or(cmp.Compare(weights[right], weights[left]), cmp.Compare(left, right))
	})
	return ranked
}
