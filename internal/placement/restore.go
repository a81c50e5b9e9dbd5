package placement

// idleRestoreRate, in requests per second, is added to a model's rate, so that models without requests are ranked by their
// copies.
const idleRestoreRate = 0.1

// restoreFromDisk loads models from disk at servers that have memory for one and that no earlier step uses. A model that may
// or may not be on the disk takes a spare store token, so it is loaded only if it also lacks copies.
func (p *planner) restoreFromDisk() {
	for position := range p.servers {
		state := &p.servers[position]
		hasMemory := state.memoryUsed+p.items.catalog.smallestModelSize <= p.capacity
		if state.isFree() && (hasMemory || len(state.maybeLoadedItems) > 0) {
			p.restoreServer(state)
		}
	}
}

// restoreServer loads a model from the server's disk: of those that fit, the one with the highest rate relative to its
// copies.
func (p *planner) restoreServer(state *serverState) {
	best := restoreChoice{model: -1}
	for reference := range state.server.OnDisk {
		p.considerRestore(state, reference, &best)
	}
	if best.model < 0 && p.decisions.mayPreload() {
		for reference := range state.server.MaybeOnDisk {
			if p.lacksCopies(reference) {
				p.considerRestore(state, reference, &best)
			}
		}
	}
	if best.model >= 0 {
		p.load(state, best.model, "it held this before")
	}
}

// lacksCopies reports whether a model has fewer copies than its target, including those being loaded.
func (p *planner) lacksCopies(reference string) bool {
	model, known := p.items.catalog.byReference[reference]
	return known && float64(p.counts.loaded(model)+p.loadsPending(model)) < p.targetCopies(model)
}

// restoreChoice is the model with the highest rank seen so far; among equal ranks, the first in the catalog.
type restoreChoice struct {
	model int // -1 for none
	rank  float64
}

// considerRestore makes a reference that a server has or may have on its disk the best choice if it can be loaded and ranks
// higher.
func (p *planner) considerRestore(state *serverState, reference string, best *restoreChoice) {
	model, known := p.items.catalog.byReference[reference]
	if !known || p.items.at(model).adapter || state.hasLoaded(model) || !p.fits(state, model) {
		return
	}
	copies := p.counts.loaded(model) + p.loadsPending(model)
	rank := (p.demand.total(model).Rate + idleRestoreRate) / float64(1+copies*copies)
	if best.model < 0 || rank > best.rank || rank == best.rank && model < best.model {
		best.model, best.rank = model, rank
	}
}
