package heartbeat

import (
	"hash/fnv"
	"sort"
)

// Watchers returns up to count daemons to which the named one sends its heartbeats: those that follow it on a hash ring of
// names. Every daemon computes the same watchers from the same list.
func Watchers(name string, daemons []string, count int) []string {
	others := make([]string, 0, len(daemons))
	for _, daemon := range daemons {
		if daemon != name {
			others = append(others, daemon)
		}
	}
	sort.Slice(others, func(left, right int) bool { return ringPosition(others[left]) < ringPosition(others[right]) })
	own := ringPosition(name)
	start := sort.Search(len(others), func(index int) bool { return ringPosition(others[index]) >= own })
	var watchers []string
	for index := range min(len(others), count) {
		watchers = append(watchers, others[(start+index)%len(others)])
	}
	return watchers
}

func ringPosition(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // a hash.Hash never returns an error
	return hash.Sum64()
}
