package place

import "slices"

// addHotCopies adds a copy of each model that has fewer than its target: with pressing, of those that
// are waited for or whose runs need more; without, of the others.
func (p *planner) addHotCopies(pressing bool) {
	var wanted []wantedModel
	for _, model := range p.demandedModels {
		demand := p.totalDemand(model)
		if model >= len(p.runtime.Models) || p.intended[p.item(model).name] > 0 {
			continue
		}
		if demand.Rate <= hotRate && p.copies[model] == 0 {
			continue
		}
		present := float64(p.copies[model] + p.loading(model))
		if present >= p.target(model) {
			continue
		}
		urgent := demand.Waiting > 0 || present < p.needed(demand)
		if urgent == pressing {
			wanted = append(wanted, wantedModel{model, demand.Rate})
		}
	}
	slices.SortFunc(wanted, compareUrgency)
	for _, next := range wanted {
		p.addCopy(next.model, "in high demand")
	}
}

// restoreStored loads models at servers that are left with room for one.
func (p *planner) restoreStored() {
	for position := range p.servers {
		state := &p.servers[position]
		if state.free() && (state.used+p.catalog.smallest <= p.room || len(state.uncertain) > 0) {
			p.restore(state)
		}
	}
}

// idleRestoreRate is added to the rate, so that models nobody asks for are ranked by their copies.
const idleRestoreRate = 0.1

// restore loads the model from the server's disk that fits and is asked for most for its copies.
func (p *planner) restore(state *serverState) {
	best, bestRank := -1, 0.0
	for reference := range state.server.Held {
		model, known := p.catalog.names[reference]
		if !known || p.item(model).adapter || state.holds(model) || !p.fits(state, model) {
			continue
		}
		copies := p.copies[model] + p.loading(model)
		rank := (p.totalDemand(model).Rate + idleRestoreRate) / float64(1+copies*copies)
		if best < 0 || rank > bestRank || rank == bestRank && model < best {
			best, bestRank = model, rank
		}
	}
	if best >= 0 {
		p.load(state, best, "it held this before")
	}
}
