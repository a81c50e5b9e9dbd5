package placement

const (
	// diskLoadFactor is the duration of a load from a server's own disk relative to one from the store.
	diskLoadFactor = 0.25
	// possibleDiskLoadFactor is the expected relative duration of a load that comes from the disk with probability 1/2.
	possibleDiskLoadFactor = (1 + diskLoadFactor) / 2
	// prefillDisruptionCost is the cost of a unit of serverState.disruption, in seconds of load time.
	prefillDisruptionCost = 1.5
)

// cheapestChoice is the server with the lowest cost seen so far; among equal costs, the one at the first position.
type cheapestChoice struct {
	server int // position, -1 for none
	cost   float64
}

func (c *cheapestChoice) consider(server int, cost float64) {
	if c.server < 0 || cost < c.cost || cost == c.cost && server < c.server {
		c.server = server
		c.cost = cost
	}
}

// addCopy loads a model at the server where the load and the eviction that it needs cost least, or starts the eviction
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
	p.setIntent(state, p.items.at(model).name)
	if !p.evict(state, model) {
		state.exhausted = true
		return p.addCopy(model, reason)
	}
	if !state.server.OnDisk[p.items.at(model).name] {
		p.decisions.reservedTokens++
	}
	return true
}

// cheapestServerFor returns the position of the cheapest server for one more copy of a model, or -1. Servers that
// certainly have the model on their disk are always considered, others only while the store's rate allows a load.
func (p *planner) cheapestServerFor(model int) int {
	best := cheapestChoice{server: -1}
	size, loadTime := p.items.at(model).size, p.items.loadTimeS(model)
	mayReserveStoreLoad := p.decisions.mayReserveStoreLoad()
	for next := p.firstDiskCopy(model); next > 0; next = p.indexes.diskCopies[next].next {
		onDisk := p.indexes.diskCopies[next]
		state := &p.servers[onDisk.server]
		if !onDisk.certain && !mayReserveStoreLoad || !p.acceptsCopy(state, model) {
			continue
		}
		if cost, possible := p.evictionCost(state, size); possible {
			best.consider(state.position, cost+loadTime*onDisk.loadFactor())
		}
	}
	if mayReserveStoreLoad {
		if ranked, found := p.cheapestStoreServer(model, size); found {
			best.consider(ranked.server, ranked.cost+loadTime)
		}
	}
	return best.server
}

// loadFactor returns the expected duration of the load relative to one from the store.
func (d diskCopy) loadFactor() float64 {
	if d.certain {
		return diskLoadFactor
	}
	return possibleDiskLoadFactor
}

// acceptsCopy reports whether a copy of a model may be added at a server.
func (p *planner) acceptsCopy(state *serverState, model int) bool {
	return state.isFree() && !state.exhausted && !state.hasLoaded(model) && !p.reservedForAdapters(state)
}

// reservedForAdapters reports whether a server is kept free for loads of adapters: it hosts a hot model with adapters of
// whose hosts no more than half are free.
func (p *planner) reservedForAdapters(state *serverState) bool {
	for _, model := range state.models {
		if p.items.adapterCount(model) == 0 || p.demand.total(model).Rate <= hotRate {
			continue
		}
		if 2*p.counts.freeHosts[model] <= p.counts.loaded(model) {
			return true
		}
	}
	return false
}

// evictionCost returns the cost of freeing memory for a model of the given size at a server, and whether that is possible.
// The full size counts even if the model may be loaded there already and would then need no more memory.
func (p *planner) evictionCost(state *serverState, size memoryUnits) (cost float64, possible bool) {
	p.rankVictims(state)
	_, cost, possible = chooseVictims(state.victims, state.memoryUsed+size-p.capacity)
	return cost + prefillDisruptionCost*state.disruption, possible
}
