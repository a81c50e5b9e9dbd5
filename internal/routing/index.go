package routing

import (
	"slices"

	"ferryspar/internal/discovery"
)

// Index finds the replicas of a snapshot that have a model loaded (its hosts), so that a batch touches
// only those. It is immutable, and may be shared by snapshots with the same list of replicas.
type Index struct {
	replicas  []*Replica
	positions map[string]int            // replica id to position
	groups    map[string]map[string]int // backend and model to a position in hosts
	hosts     [][]int                   // positions of replicas, ascending
	// prefillGroups are the groups of the replicas that only read prompts; they are no hosts.
	prefillGroups map[string]map[string]int
}

// hosting says that the replica at a position belongs to a group of hosts.
type hosting struct {
	group, position int
}

// indexBuilder collects hostings until the sizes of all groups are known.
type indexBuilder struct {
	hostings   []hosting
	groupSizes []int
}

// NewIndex indexes a list of replicas. Draining replicas host nothing. Every other one is also a host of
// the empty model, for backends without models. Replicas of the phase prefill are kept apart: they serve no request whole.
func NewIndex(replicas []*Replica) *Index {
	index := &Index{
		replicas:  replicas,
		positions: make(map[string]int, len(replicas)),
		groups:    map[string]map[string]int{},

		prefillGroups: map[string]map[string]int{},
	}
	total := len(replicas)
	for _, replica := range replicas {
		total += len(replica.Models)
	}
	builder := indexBuilder{
		hostings:   make([]hosting, 0, total),
		groupSizes: make([]int, 0, total),
	}
	for position, replica := range replicas {
		index.positions[replica.ID] = position
		if replica.Draining {
			continue
		}
		groups := index.groupsOf(replica)
		builder.add(groups, "", position)
		for model, isUsable := range replica.Models {
			if isUsable && model != "" {
				builder.add(groups, model, position)
			}
		}
	}
	index.hosts = builder.build()
	return index
}

// groupsOf returns the groups that a replica belongs to by its backend and phase.
func (i *Index) groupsOf(replica *Replica) map[string]int {
	byBackend := i.groups
	if replica.Phase == discovery.PhasePrefill {
		byBackend = i.prefillGroups
	}
	if byBackend[replica.Backend] == nil {
		byBackend[replica.Backend] = map[string]int{}
	}
	return byBackend[replica.Backend]
}

// add makes the replica at a position a host of a model.
func (b *indexBuilder) add(groups map[string]int, model string, position int) {
	group, known := groups[model]
	if !known {
		group = len(b.groupSizes)
		groups[model] = group
		b.groupSizes = append(b.groupSizes, 0)
	}
	b.groupSizes[group]++
	b.hostings = append(b.hostings, hosting{group, position})
}

// build sorts the hostings into one list of positions for each group, all in one allocation.
func (b *indexBuilder) build() [][]int {
	hosts := make([][]int, len(b.groupSizes))
	unused := make([]int, len(b.hostings))
	for group, size := range b.groupSizes {
		hosts[group] = unused[:0:size]
		unused = unused[size:]
	}
	for _, member := range b.hostings {
		hosts[member.group] = append(hosts[member.group], member.position)
	}
	return hosts
}

// isFor reports whether the index was built from this very list.
func (i *Index) isFor(replicas []*Replica) bool {
	return len(i.replicas) == len(replicas) && (len(replicas) == 0 || &i.replicas[0] == &replicas[0])
}

// contains reports whether a replica is in the index.
func (i *Index) contains(id string) bool {
	_, listed := i.positions[id]
	return listed
}

// Hosts returns the positions of the replicas of a backend that have a model or adapter loaded,
// ascending; nil for none. The caller must not change them.
func (i *Index) Hosts(backend, model string) []int {
	if group, known := i.groups[backend][model]; known {
		return i.hosts[group]
	}
	return nil
}

// PrefillHosts returns the positions of the replicas of a backend that read prompts for a model, ascending; nil for none.
// The caller must not change them.
func (i *Index) PrefillHosts(backend, model string) []int {
	if group, known := i.prefillGroups[backend][model]; known {
		return i.hosts[group]
	}
	return nil
}

// hostsIn returns the hosts of the request's model; they are looked up once for each index.
func (r *Request) hostsIn(index *Index) []int {
	if r.hostsIndex != index {
		r.hostsIndex = index
		r.hosts = index.Hosts(r.Backend, r.Model)
		r.prefillHosts = index.PrefillHosts(r.Backend, r.Model)
	}
	return r.hosts
}

// prefillHostsIn returns the replicas that read prompts for the request's model.
func (r *Request) prefillHostsIn(index *Index) []int {
	r.hostsIn(index)
	return r.prefillHosts
}

// isLoadedAt reports whether the replica at a position has the request's model loaded.
func (r *Request) isLoadedAt(index *Index, position int) bool {
	_, found := slices.BinarySearch(r.hostsIn(index), position)
	return found
}
