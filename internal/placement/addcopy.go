package placement

const (
	// diskLoadFactor is the time of a load from a server's own disk relative to one from the store.
	diskLoadFactor = 0.25
	// possibleDiskLoadFactor is that of a load that may come from the disk or not, with equal odds.
	possibleDiskLoadFactor = (1 + diskLoadFactor) / 2
	// prefillDisruptionCost is the cost of a server's disruption, in seconds of load time.
	prefillDisruptionCost = 1.5
)

// cheapestChoice keeps the server with the lowest cost, of equal ones the first.
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

// addCopy loads a model at the server where the load and the memory for it cost least, or begins to free
// memory for it there. It reports whether it found such a server.
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

// cheapestServerFor returns the position of the cheapest server for one more copy, or -1: any server that
// surely has the model on its disk, and any other one while the store's rate allows a load.
func (p *planner) cheapestServerFor(model int) int {
	best := cheapestChoice{server: -1}
	size, loadTime := p.items.at(model).size, p.items.loadTimeS(model)
	mayReserveStoreLoad := p.decisions.mayReserveStoreLoad()
	for next := p.firstDiskCopy(model); next > 0; next = p.searches.diskCopies[next].next {
		onDisk := p.searches.diskCopies[next]
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

// loadFactor is the expected time of the load relative to one from the store.
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

// reservedForAdapters reports whether a server is kept free for loads of adapters: it has a hot model
// with adapters loaded of which no more than half of the hosts are free.
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

// evictionCost is the cost of freeing memory for that size at a server, and whether it is possible at
// all. The size counts in full even if the model itself may be loaded there, though it then needs less.
func (p *planner) evictionCost(state *serverState, size memoryUnits) (cost float64, possible bool) {
	p.rankVictims(state)
	_, cost, possible = chooseVictims(state.victims, state.memoryUsed+size-p.capacity)
	return cost + prefillDisruptionCost*state.disruption, possible
}
