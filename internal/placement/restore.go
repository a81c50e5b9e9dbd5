package placement

// idleRestoreRate is added to a model's rate, so that models nobody asks for are ranked by their copies.
const idleRestoreRate = 0.1

// restoreFromDisk loads models from disk at servers that are left with memory for one. What is only possibly on a
// disk takes a token that no request needs, so it must lack copies besides.
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
	best := restoreChoice{model: -1}
	for reference := range state.server.OnDisk {
		p.considerRestore(state, reference, &best)
	}
	if best.model < 0 && p.decisions.mayLoadUnasked() {
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

// lacksCopies reports whether a model has fewer copies, those to come included, than it is to have.
func (p *planner) lacksCopies(reference string) bool {
	model, known := p.items.catalog.names[reference]
	return known && float64(p.counts.loaded(model)+p.loadsPending(model)) < p.targetCopies(model)
}

// restoreChoice is the model of the highest rank seen so far, of equal ones the first in the catalog.
type restoreChoice struct {
	model int // -1 for none
	rank  float64
}

// considerRestore ranks a reference that a server has or may have on its disk.
func (p *planner) considerRestore(state *serverState, reference string, best *restoreChoice) {
	model, known := p.items.catalog.names[reference]
	if !known || p.items.at(model).adapter || state.hasLoaded(model) || !p.fits(state, model) {
		return
	}
	copies := p.counts.loaded(model) + p.loadsPending(model)
	rank := (p.demand.total(model).Rate + idleRestoreRate) / float64(1+copies*copies)
	if best.model < 0 || rank > best.rank || rank == best.rank && model < best.model {
		best.model, best.rank = model, rank
	}
}
