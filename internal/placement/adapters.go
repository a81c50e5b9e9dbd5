package placement

import (
	"cmp"
	"slices"
)

const (
	// adapterCopies is how many copies each adapter of a loaded model is to have.
	adapterCopies = 2
	// Values of Action.Reason.
	adapterLoadReason = "adapter wanted"
	adapterCopyReason = "an adapter has no room where its model is loaded"
	adapterSwapReason = "adapter makes way for one asked for"
)

// candidateAdapter is an adapter with too few copies.
type candidateAdapter struct {
	number  int
	waiting int
	copies  int
	rate    float64
}

// compareCandidateAdapters sorts the fewest copies first, then the most who wait, then the highest rate.
func compareCandidateAdapters(left, right candidateAdapter) int {
	return cmp.Or(
		left.copies-right.copies,
		right.waiting-left.waiting,
		cmp.Compare(right.rate, left.rate),
		left.number-right.number,
	)
}

// addAdapters loads adapters of models that are loaded: with pressing, those waited for, or asked for and
// nowhere loaded; without, the others that have too few copies.
func (p *planner) addAdapters(urgentOnly bool) {
	var candidates []candidateAdapter
	for model, adapters := range p.catalog.adapters {
		if len(adapters) == 0 || p.copies[model] == 0 {
			continue
		}
		for _, number := range adapters {
			copies := p.copies[number]
			if copies < adapterCopies {
				copies += p.loadsPending(number)
			}
			demand := p.ownDemand(number)
			urgent := demand.Waiting > 0 || copies == 0 && demand.Rate > 0
			if copies < adapterCopies && urgent == urgentOnly {
				candidates = append(candidates, candidateAdapter{number, demand.Waiting, copies, demand.Rate})
			}
		}
	}
	slices.SortFunc(candidates, compareCandidateAdapters)
	for _, adapter := range candidates {
		p.addAdapter(adapter.number, adapter.copies == 0 && (adapter.waiting > 0 || adapter.rate > 0))
	}
}

// addAdapter loads an adapter at the holder of its model with the fewest adapters. Where no holder
// has room, an urgent one has another adapter or an unwanted model unloaded, and one waited for a copy of
// its model added elsewhere.
func (p *planner) addAdapter(number int, urgent bool) {
	var best *serverState
	for _, position := range p.serversForAdapter(p.item(number).model) {
		state := &p.servers[position]
		if !state.hasLoaded(number) && (best == nil || len(state.adapters) < len(best.adapters)) {
			best = state
		}
	}
	if best != nil {
		p.load(best, number, adapterLoadReason)
		return
	}
	hasWaiting := p.ownDemand(number).Waiting > 0
	if !urgent || p.swapAdapter(p.item(number).model, hasWaiting) || p.evictForAdapter(number, hasWaiting) {
		return
	}
	if hasWaiting {
		p.addCopyForAdapter(number)
	}
}

// serversForAdapter are the idle holders of a model with room for one more of its adapters.
func (p *planner) serversForAdapter(model int) []int {
	list, known := p.adapterCandidates[model]
	if !known && model < len(p.hosts) {
		for _, position := range p.hosts[model] {
			if p.fitsAnotherAdapter(&p.servers[position], model) {
				list = append(list, position)
			}
		}
	}
	rest := list[:0]
	for _, position := range list {
		if p.servers[position].isIdle() {
			rest = append(rest, position)
		}
	}
	p.adapterCandidates[model] = rest
	return rest
}

// adapterSize is the size of each adapter of a listed model.
func (p *planner) adapterSize(model int) memoryUnits {
	return p.item(p.catalog.adapters[model][0]).size
}

func (p *planner) fitsAnotherAdapter(state *serverState, model int) bool {
	return state.adapterSlotsUsed < p.runtime.AdapterCapacity && state.memoryUsed+p.adapterSize(model) <= p.capacity
}
