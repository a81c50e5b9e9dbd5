package placement

import "slices"

// addHotCopies adds a copy of each model that has fewer than its target: with pressing, of those that
// are waited for or whose runs need more; without, of the others.
func (p *planner) addHotCopies(urgentOnly bool) {
	var candidates []candidateModel
	for _, model := range p.demandedModels {
		demand := p.totalDemand(model)
		if model >= len(p.runtime.Models) || p.intended[p.item(model).name] > 0 {
			continue
		}
		if demand.Rate <= hotRate && p.copies[model] == 0 {
			continue
		}
		present := float64(p.copies[model] + p.loadsPending(model))
		if present >= p.targetCopies(model) {
			continue
		}
		urgent := demand.Waiting > 0 || present < p.copiesNeeded(demand)
		if urgent == urgentOnly {
			candidates = append(candidates, candidateModel{model, demand.Rate})
		}
	}
	slices.SortFunc(candidates, compareUrgency)
	for _, next := range candidates {
		p.addCopy(next.model, "in high demand")
	}
}

// restoreFromDisk loads models at servers that are left with room for one.
func (p *planner) restoreFromDisk() {
	for position := range p.servers {
		state := &p.servers[position]
		if state.isFree() && (state.memoryUsed+p.catalog.smallest <= p.capacity || len(state.maybeLoadedItems) > 0) {
			p.restoreServer(state)
		}
	}
}

// idleRestoreRate is added to the rate, so that models nobody asks for are ranked by their copies.
const idleRestoreRate = 0.1

// restore loads the model from the server's disk that fits and is asked for most for its copies.
func (p *planner) restoreServer(state *serverState) {
	best, bestRank := -1, 0.0
	for reference := range state.server.OnDisk {
		model, known := p.catalog.names[reference]
		if !known || p.item(model).adapter || state.hasLoaded(model) || !p.fits(state, model) {
			continue
		}
		copies := p.copies[model] + p.loadsPending(model)
		rank := (p.totalDemand(model).Rate + idleRestoreRate) / float64(1+copies*copies)
		if best < 0 || rank > bestRank || rank == bestRank && model < best {
			best, bestRank = model, rank
		}
	}
	if best >= 0 {
		p.load(state, best, "it held this before")
	}
}
