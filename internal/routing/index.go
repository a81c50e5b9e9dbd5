package routing

import "slices"

// Index finds the replicas of a snapshot that hold a model, so that a batch touches only those. It
// is read-only once made, and may be shared by snapshots with the same list of replicas.
type Index struct {
	replicas  []*Replica
	positions map[string]int            // replica id to position
	groups    map[string]map[string]int // backend and model to a position in holders
	hosts     [][]int                   // positions of replicas, ascending
}

// hosting says that the replica at a position belongs to a group of holders.
type hosting struct {
	group, position int
}

// NewIndex indexes a list of replicas. Draining replicas hold nothing. Every other one is also a
// holder of the empty model, for backends without models.
func NewIndex(replicas []*Replica) *Index {
	index := &Index{
		replicas:  replicas,
		positions: make(map[string]int, len(replicas)),
		groups:    map[string]map[string]int{},
	}
	total := len(replicas)
	for _, replica := range replicas {
		total += len(replica.Models)
	}
	hostings := make([]hosting, 0, total)
	sizes := make([]int, 0, total)
	for position, replica := range replicas {
		index.positions[replica.ID] = position
		if replica.Draining {
			continue
		}
		groups := index.groups[replica.Backend]
		if groups == nil {
			groups = map[string]int{}
			index.groups[replica.Backend] = groups
		}
		add := func(model string) {
			group, known := groups[model]
			if !known {
				group = len(sizes)
				groups[model] = group
				sizes = append(sizes, 0)
			}
			sizes[group]++
			hostings = append(hostings, hosting{group, position})
		}
		add("")
		for model, holds := range replica.Models {
			if holds && model != "" {
				add(model)
			}
		}
	}
	index.hosts = groupPositions(hostings, sizes)
	return index
}

// groupPositions sorts holdings into one list for each group, all in one allocation.
func groupPositions(hostings []hosting, sizes []int) [][]int {
	hosts := make([][]int, len(sizes))
	unused := make([]int, len(hostings))
	for group, size := range sizes {
		hosts[group] = unused[:0:size]
		unused = unused[size:]
	}
	for _, member := range hostings {
		hosts[member.group] = append(hosts[member.group], member.position)
	}
	return hosts
}

// covers reports whether the index was made of this very list.
func (i *Index) isFor(replicas []*Replica) bool {
	return len(i.replicas) == len(replicas) && (len(replicas) == 0 || &i.replicas[0] == &replicas[0])
}

// Holders are the positions of the replicas of a backend that hold a model or adapter, ascending;
// nil for none. The caller must not change them.
func (i *Index) Hosts(backend, model string) []int {
	if group, known := i.groups[backend][model]; known {
		return i.hosts[group]
	}
	return nil
}

// hostsIn are the holders of the request's model; they are looked up once for each index.
func (r *Request) hostsIn(index *Index) []int {
	if r.hostsIndex != index {
		r.hostsIndex = index
		r.hosts = index.Hosts(r.Backend, r.Model)
	}
	return r.hosts
}

// isLoadedAt reports whether the replica at a position holds the request's model.
func (r *Request) isLoadedAt(index *Index, position int) bool {
	_, found := slices.BinarySearch(r.hostsIn(index), position)
	return found
}
