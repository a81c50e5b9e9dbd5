package routing

import (
	"slices"

	"ferryspar/internal/discovery"
)

// Index maps models to the replicas of a snapshot that have them loaded (their hosts), so that a batch
// considers only those. It is immutable, and may be shared by snapshots with the same list of replicas.
type Index struct {
	replicas  []*Replica
	positions map[string]int            // replica id to position
	groups    map[string]map[string]int // backend and model to an index of hosts
	hosts     [][]int                   // positions of replicas, ascending
	// prefillGroups is the same as groups for prefill replicas, which are not hosts.
	prefillGroups map[string]map[string]int
}

// groupMember is the membership of the replica at a position in a group.
type groupMember struct {
	group, position int
}

// indexBuilder collects the members of all groups before the groups are allocated.
type indexBuilder struct {
	members    []groupMember
	groupSizes []int
}

// NewIndex indexes a list of replicas. Draining replicas are left out. All others are also hosts of the empty
// model, for backends without models. Prefill replicas have groups of their own, since they cannot serve a request alone.
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
		members:    make([]groupMember, 0, total),
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

// groupsOf returns the groups, by model, of a replica's backend and phase.
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

// add adds the replica at a position to the group of a model.
func (b *indexBuilder) add(groups map[string]int, model string, position int) {
	group, known := groups[model]
	if !known {
		group = len(b.groupSizes)
		groups[model] = group
		b.groupSizes = append(b.groupSizes, 0)
	}
	b.groupSizes[group]++
	b.members = append(b.members, groupMember{group, position})
}

// build returns the positions of each group, with one allocation for all groups.
func (b *indexBuilder) build() [][]int {
	hosts := make([][]int, len(b.groupSizes))
	unused := make([]int, len(b.members))
	for group, size := range b.groupSizes {
		hosts[group] = unused[:0:size]
		unused = unused[size:]
	}
	for _, member := range b.members {
		hosts[member.group] = append(hosts[member.group], member.position)
	}
	return hosts
}

// isFor reports whether the index was built from this list (the same slice, not equal contents).
func (i *Index) isFor(replicas []*Replica) bool {
	return len(i.replicas) == len(replicas) && (len(replicas) == 0 || &i.replicas[0] == &replicas[0])
}

func (i *Index) contains(id string) bool {
	_, listed := i.positions[id]
	return listed
}

// Hosts returns the positions of the replicas of a backend that have a model or adapter loaded,
// ascending; nil for none. The caller must not modify them.
func (i *Index) Hosts(backend, model string) []int {
	if group, known := i.groups[backend][model]; known {
		return i.hosts[group]
	}
	return nil
}

// PrefillHosts returns the positions of the prefill replicas of a backend that have a model or adapter loaded, ascending;
// nil for none. The caller must not modify them.
func (i *Index) PrefillHosts(backend, model string) []int {
	if group, known := i.prefillGroups[backend][model]; known {
		return i.hosts[group]
	}
	return nil
}

// hostsIn returns the hosts of the request's model, cached for each index.
func (r *Request) hostsIn(index *Index) []int {
	if r.hostsIndex != index {
		r.hostsIndex = index
		r.hosts = index.Hosts(r.Backend, r.Model)
		r.prefillHosts = index.PrefillHosts(r.Backend, r.Model)
	}
	return r.hosts
}

// prefillHostsIn returns the prefill replicas for the request's model, cached for each index.
func (r *Request) prefillHostsIn(index *Index) []int {
	r.hostsIn(index)
	return r.prefillHosts
}

// isLoadedAt reports whether the replica at a position has the request's model loaded.
func (r *Request) isLoadedAt(index *Index, position int) bool {
	_, found := slices.BinarySearch(r.hostsIn(index), position)
	return found
}
