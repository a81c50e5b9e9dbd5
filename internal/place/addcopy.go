package place

import (
	"cmp"
	"slices"
)

const (
	// diskCost is the time to load from a server's own disk, of that from the store.
	diskCost = 0.25
	// readingCost is the cost of a server's disturbance, in seconds of load time.
	readingCost = 1.5
)

// rankedServer is a server with the cost of making room at it.
type rankedServer struct {
	server int
	cost   float64
}

// storedCopy is one element of the list of servers that have a model on their disk.
type storedCopy struct {
	server int
	next   int // position in planner.storedCopies, 0 for none
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
func (p *planner) addCopy(model int, why string) bool {
	position := p.cheapestFor(model)
	if position < 0 {
		return false
	}
	state := &p.servers[position]
	if p.load(state, model, why) {
		return true
	}
	p.setIntent(state, p.item(model).name)
	if !p.evict(state, model) {
		state.exhausted = true
		return p.addCopy(model, why)
	}
	if !state.server.Held[p.item(model).name] {
		p.promisedLoads++
	}
	return true
}

// cheapestFor is the cheapest server for one more copy, or -1: any that has the model on its disk,
// and any other one while the store's rate allows a load.
func (p *planner) cheapestFor(model int) int {
	best := cheapestChoice{server: -1}
	size, loadTime := p.item(model).size, p.loadTime(model)
	for next := p.firstStoredCopy(model); next > 0; next = p.storedCopies[next].next {
		state := &p.servers[p.storedCopies[next].server]
		if !p.acceptsCopy(state, model) {
			continue
		}
		if cost, possible := p.evictionCost(state, size); possible {
			best.consider(state.position, cost+loadTime*diskCost)
		}
	}
	if p.tokens-p.promisedLoads >= 1 {
		if ranked, found := p.cheapestServer(model, size); found {
			best.consider(ranked.server, ranked.cost+loadTime)
		}
	}
	return best.server
}

func (p *planner) acceptsCopy(state *serverState, model int) bool {
	return state.free() && !state.exhausted && !state.holds(model) && !p.reservedForAdapters(state)
}

// firstStoredCopy is the head of the list of servers that have a model on their disk, 0 for none. The
// lists of all models are made at the first call, of the servers that are free then.
func (p *planner) firstStoredCopy(model int) int {
	if p.storedCopies == nil {
		p.listStoredCopies()
	}
	if model < len(p.firstStored) {
		return p.firstStored[model]
	}
	return 0
}

// listStoredCopies makes the lists; position 0 of storedCopies marks the end of a list.
func (p *planner) listStoredCopies() {
	p.storedCopies = []storedCopy{{}}
	p.firstStored = make([]int, len(p.catalog.items))
	for position := range p.servers {
		if !p.servers[position].free() {
			continue
		}
		for reference := range p.servers[position].server.Held {
			if number, known := p.catalog.names[reference]; known {
				p.storedCopies = append(p.storedCopies, storedCopy{position, p.firstStored[number]})
				p.firstStored[number] = len(p.storedCopies) - 1
			}
		}
	}
}

// cheapestServer is the server at which room for that size costs least, of those that accept a copy
// of the model. Servers that are no longer free are dropped from the ranking on the way.
func (p *planner) cheapestServer(model int, size roomSize) (rankedServer, bool) {
	ranking, known := p.rankedBySize[size]
	if !known {
		ranking = p.rankServers(size)
	}
	rest := ranking[:0]
	for index, ranked := range ranking {
		state := &p.servers[ranked.server]
		if !state.free() || state.exhausted {
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
func (p *planner) rankServers(size roomSize) []rankedServer {
	var ranking []rankedServer
	for position := range p.servers {
		state := &p.servers[position]
		if !state.free() {
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
		if p.adapterCount(model) > 0 && 2*p.freeHolders[model] <= p.copies[model] && p.totalDemand(model).Rate > hotRate {
			return true
		}
	}
	return false
}

// evictionCost is the cost of room for that size at a server, and whether it can be made at all. What the
// server may hold counts also where it is the very model to be loaded, which then needs less.
func (p *planner) evictionCost(state *serverState, size roomSize) (float64, bool) {
	p.rankVictims(state)
	cost := readingCost * state.disturbance
	need := state.used + size - p.room
	for _, next := range state.victims {
		if need <= 0 {
			break
		}
		need -= next.freed
		cost += next.loss
	}
	return cost, need <= 0
}
