package placement

import (
	"cmp"
	"slices"
)

// serverSearches are indexes for searches within one plan, made on demand. Servers only leave them: one
// that has got an action, an intent or no memory left is not considered again.
type serverSearches struct {
	rankedBySize          map[memoryUnits][]rankedServer // by the size to be loaded, the cheapest first
	diskCopies            []diskCopy                     // linked lists by model; element 0 ends every list
	firstDiskCopies       []int                          // by item, heads of those lists; 0 for none
	adapterCandidates     map[int][]int                  // by model, servers with memory and a slot for an adapter
	adapterSwapImpossible map[adapterSwap]bool
}

// rankedServer is a server with the cost of freeing memory at it.
type rankedServer struct {
	server int // position
	cost   float64
}

// diskCopy is one element of the list of servers that have or may have a model on their disk.
type diskCopy struct {
	server  int // position
	next    int // position in serverSearches.diskCopies, 0 for none
	certain bool
}

func newServerSearches() serverSearches {
	return serverSearches{
		rankedBySize:          map[memoryUnits][]rankedServer{},
		adapterCandidates:     map[int][]int{},
		adapterSwapImpossible: map[adapterSwap]bool{},
	}
}

// firstDiskCopy is the head of the list of servers that have or may have a model on their disk, 0 for none. The
// lists of all models are made at the first call, of the servers that are free then.
func (p *planner) firstDiskCopy(model int) int {
	if p.searches.diskCopies == nil {
		p.indexDiskCopies()
	}
	if model < len(p.searches.firstDiskCopies) {
		return p.searches.firstDiskCopies[model]
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
			if number, known := catalog.names[reference]; known {
				copies = append(copies, diskCopy{server: position, next: first[number], certain: true})
				first[number] = len(copies) - 1
			}
		}
		for reference := range server.MaybeOnDisk {
			if number, known := catalog.names[reference]; known && !server.OnDisk[reference] {
				copies = append(copies, diskCopy{server: position, next: first[number]})
				first[number] = len(copies) - 1
			}
		}
	}
	p.searches.diskCopies = copies
	p.searches.firstDiskCopies = first
}

// cheapestStoreServer is the server at which memory for that size costs least, of those that accept a
// copy of the model. Servers that are no longer free are dropped from the ranking on the way.
func (p *planner) cheapestStoreServer(model int, size memoryUnits) (rankedServer, bool) {
	ranking, known := p.searches.rankedBySize[size]
	if !known {
		ranking = p.rankServers(size)
	}
	rest := ranking[:0]
	for index, ranked := range ranking {
		state := &p.servers[ranked.server]
		if !state.isFree() || state.exhausted {
			continue
		}
		rest = append(rest, ranked)
		if p.acceptsCopy(state, model) {
			p.searches.rankedBySize[size] = append(rest, ranking[index+1:]...)
			return ranked, true
		}
	}
	p.searches.rankedBySize[size] = rest
	return rankedServer{}, false
}

// rankServers sorts the free servers by the cost of freeing memory for that size.
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
