package placement

import (
	"cmp"
	"slices"
)

// searchIndexes are indexes of servers within one plan, built on demand. Servers are only ever removed from them: a server
// that gets an action or an intent, or at which no memory can be freed, does not become a candidate again.
type searchIndexes struct {
	rankedBySize          map[memoryUnits][]rankedServer // by the size of the model to load, the cheapest server first
	diskCopies            []diskCopy                     // linked lists, one per model; element 0 ends every list
	firstDiskCopies       []int                          // by item number, heads of those lists; 0 for none
	adapterCandidates     map[int][]int                  // by model, positions of servers with memory and a slot for an adapter
	adapterSwapImpossible map[adapterSwap]bool
}

// rankedServer is a server with the cost of freeing memory there.
type rankedServer struct {
	server int // position
	cost   float64
}

// diskCopy is an element of the linked list of servers that have or may have a model on their disk.
type diskCopy struct {
	server  int // position
	next    int // position in searchIndexes.diskCopies, 0 for none
	certain bool
}

func newSearchIndexes() searchIndexes {
	return searchIndexes{
		rankedBySize:          map[memoryUnits][]rankedServer{},
		adapterCandidates:     map[int][]int{},
		adapterSwapImpossible: map[adapterSwap]bool{},
	}
}

// firstDiskCopy returns the position in diskCopies of the head of a model's list, 0 for none. The first call builds the
// lists of all models from the servers that are free then.
func (p *planner) firstDiskCopy(model int) int {
	if p.indexes.diskCopies == nil {
		p.indexDiskCopies()
	}
	if model < len(p.indexes.firstDiskCopies) {
		return p.indexes.firstDiskCopies[model]
	}
	return 0
}

func (p *planner) indexDiskCopies() {
	catalog := p.items.catalog
	copies := []diskCopy{{}}
	first := make([]int, len(catalog.items))
	for position := range p.servers {
		if !p.servers[position].isFree() {
			continue
		}
		server := p.servers[position].server
		for reference := range server.OnDisk {
			if number, known := catalog.byReference[reference]; known {
				copies = append(copies, diskCopy{server: position, next: first[number], certain: true})
				first[number] = len(copies) - 1
			}
		}
		for reference := range server.MaybeOnDisk {
			if number, known := catalog.byReference[reference]; known && !server.OnDisk[reference] {
				copies = append(copies, diskCopy{server: position, next: first[number]})
				first[number] = len(copies) - 1
			}
		}
	}
	p.indexes.diskCopies = copies
	p.indexes.firstDiskCopies = first
}

// cheapestStoreServer returns the server at which memory for the given size costs least, of those that accept a copy of the
// model. It removes servers that are no longer free from the ranking as it goes.
func (p *planner) cheapestStoreServer(model int, size memoryUnits) (rankedServer, bool) {
	ranking, known := p.indexes.rankedBySize[size]
	if !known {
		ranking = p.rankServers(size)
	}
	remaining := ranking[:0]
	for index, ranked := range ranking {
		state := &p.servers[ranked.server]
		if !state.isFree() || state.exhausted {
			continue
		}
		remaining = append(remaining, ranked)
		if p.acceptsCopy(state, model) {
			p.indexes.rankedBySize[size] = append(remaining, ranking[index+1:]...)
			return ranked, true
		}
	}
	p.indexes.rankedBySize[size] = remaining
	return rankedServer{}, false
}

// rankServers returns the free servers, sorted by the cost of freeing memory for the given size.
func (p *planner) rankServers(size memoryUnits) []rankedServer {
	var ranking []rankedServer
	for position := range p.servers {
		state := &p.servers[position]
		if !state.isFree() {
			continue
		}
		if cost, possible := p.evictionCost(state, size); possible {
			ranking = append(ranking, rankedServer{position, cost})
		}
	}
	slices.SortFunc(ranking, func(left, right rankedServer) int {
		return cmp.Or(cmp.Compare(left.cost, right.cost), left.server-right.server)
	})
	return ranking
}
