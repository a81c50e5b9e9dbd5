package placement

// idleRestoreRate is added to a model's rate, so that models nobody asks for are ranked by their copies.
const idleRestoreRate = 0.1

// restoreFromDisk loads models from disk at servers that are left with memory for one.
func (p *planner) restoreFromDisk() {
	for position := range p.servers {
		state := &p.servers[position]
		hasMemory := state.memoryUsed+p.items.catalog.smallest <= p.capacity
		if state.isFree() && (hasMemory || len(state.maybeLoadedItems) > 0) {
			p.restoreServer(state)
		}
	}
}

// restoreServer loads the model from the server's disk that fits and has the highest rate for its copies.
func (p *planner) restoreServer(state *serverState) {
	best, bestRank := -1, 0.0
	for reference := range state.server.OnDisk {
		model, known := p.items.catalog.names[reference]
		if !known || p.items.at(model).adapter || state.hasLoaded(model) || !p.fits(state, model) {
			continue
		}
		copies := p.counts.loaded(model) + p.loadsPending(model)
		rank := (p.demand.total(model).Rate + idleRestoreRate) / float64(1+copies*copies)
		if best < 0 || rank > bestRank || rank == bestRank && model < best {
			best, bestRank = model, rank
		}
	}
	if best >= 0 {
		p.load(state, best, "it held this before")
	}
}
