package placement

import (
	"cmp"
	"slices"
)

const (
	// diskLoadFactor is the time to load from a server's own disk, of that from the store.
	diskLoadFactor = 0.25
	// prefillDisruptionCost is the cost of a server's disturbance, in seconds of load time.
	prefillDisruptionCost = 1.5
)

// rankedServer is a server with the cost of making room at it.
type rankedServer struct {
	server int
	cost   float64
}

// diskCopy is one element of the list of servers that have a model on their disk.
type diskCopy struct {
	server int
	next   int // position in planner.diskCopies, 0 for none
}

// cheapestChoice keeps the server with the lowest cost, of equal ones the first.
type cheapestChoice struct {
	server int // -1 for none
	cost   float64
}

func (c *cheapestChoice) consider(server int, cost float64) {
	if c.server < 0 || cost < c.cost || cost == c.cost && server < c.server {
		c.server = server
		c.cost = cost
	}
}

// addCopy loads a model where the load and the room for it cost least, or begins to make room for it
// there. It reports whether it found such a server.
func (p *planner) addCopy(model int, reason string) bool {
	position := p.cheapestServerFor(model)
	if position < 0 {
		return false
	}
	state := &p.servers[position]
	if p.load(state, model, reason) {
		return true
	}
	p.setIntent(state, p.item(model).name)
	if !p.evict(state, model) {
		state.exhausted = true
		return p.addCopy(model, reason)
	}
	if !state.server.OnDisk[p.item(model).name] {
		p.reservedTokens++
	}
	return true
}

// cheapestServerFor is the cheapest server for one more copy, or -1: any that has the model on its disk,
// and any other one while the store's rate allows a load.
func (p *planner) cheapestServerFor(model int) int {
	best := cheapestChoice{server: -1}
	size, loadTime := p.item(model).size, p.loadTime(model)
	for next := p.diskCopiesOf(model); next > 0; next = p.diskCopies[next].next {
		state := &p.servers[p.diskCopies[next].server]
		if !p.acceptsCopy(state, model) {
			continue
		}
		if cost, possible := p.evictionCost(state, size); possible {
			best.consider(state.position, cost+loadTime*diskLoadFactor)
		}
	}
	if p.tokens-p.reservedTokens >= 1 {
		if ranked, found := p.cheapestStoreServer(model, size); found {
			best.consider(ranked.server, ranked.cost+loadTime)
		}
	}
	return best.server
}

func (p *planner) acceptsCopy(state *serverState, model int) bool {
	return state.isFree() && !state.exhausted && !state.hasLoaded(model) && !p.reservedForAdapters(state)
}

// diskCopiesOf is the head of the list of servers that have a model on their disk, 0 for none. The
// lists of all models are made at the first call, of the servers that are free then.
func (p *planner) diskCopiesOf(model int) int {
	if p.diskCopies == nil {
		p.indexDiskCopies()
	}
	if model < len(p.firstDiskCopy) {
		return p.firstDiskCopy[model]
	}
	return 0
}

// indexDiskCopies makes the lists; position 0 of diskCopies marks the end of a list.
func (p *planner) indexDiskCopies() {
	p.diskCopies = []diskCopy{{}}
	p.firstDiskCopy = make([]int, len(p.catalog.items))
	for position := range p.servers {
		if !p.servers[position].isFree() {
			continue
		}
		for reference := range p.servers[position].server.OnDisk {
			if number, known := p.catalog.names[reference]; known {
				p.diskCopies = append(p.diskCopies, diskCopy{position, p.firstDiskCopy[number]})
				p.firstDiskCopy[number] = len(p.diskCopies) - 1
			}
		}
	}
}

// cheapestStoreServer is the server at which room for that size costs least, of those that accept a copy
// of the model. Servers that are no longer free are dropped from the ranking on the way.
func (p *planner) cheapestStoreServer(model int, size memoryUnits) (rankedServer, bool) {
	ranking, known := p.rankedBySize[size]
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
			p.rankedBySize[size] = append(rest, ranking[index+1:]...)
			return ranked, true
		}
	}
	p.rankedBySize[size] = rest
	return rankedServer{}, false
}

// rankServers sorts the free servers by the cost of room for that size.
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

// reservedForAdapters reports whether a server is kept free for loads of adapters: it holds a hot
// model with adapters of which no more than half of the holders are free.
func (p *planner) reservedForAdapters(state *serverState) bool {
	for _, model := range state.models {
		if p.adapterCount(model) > 0 && 2*p.freeHosts[model] <= p.copies[model] && p.totalDemand(model).Rate > hotRate {
			return true
		}
	}
	return false
}

// evictionCost is the cost of room for that size at a server, and whether it can be made at all. What the
// server may hold counts also where it is the very model to be loaded, which then needs less.
func (p *planner) evictionCost(state *serverState, size memoryUnits) (float64, bool) {
	p.rankVictims(state)
	cost := prefillDisruptionCost * state.disruption
	need := state.memoryUsed + size - p.capacity
	for _, next := range state.victims {
		if need <= 0 {
			break
		}
		need -= next.freedMemory
		cost += next.cost
	}
	return cost, need <= 0
}
