package placement

import (
	"cmp"
	"slices"
)

const (
	// adapterCopies is how many copies each adapter of a loaded model should have.
	adapterCopies = 2
	// Values of Action.Reason.
	adapterLoadReason = "adapter wanted"
	adapterCopyReason = "an adapter has no room where its model is loaded"
	adapterSwapReason = "adapter makes way for one asked for"
)

// candidateAdapter is an adapter with too few copies.
type candidateAdapter struct {
	number  int
	waiting int     // requests
	copies  int     // loaded or being loaded
	rate    float64 // requests per second
}

// isRequested reports whether the adapter has no copy although clients request it.
func (c candidateAdapter) isRequested() bool { return c.copies == 0 && (c.waiting > 0 || c.rate > 0) }

// compareCandidateAdapters orders adapters by the fewest copies, then by the most waiting requests, then by the highest
// rate.
func compareCandidateAdapters(left, right candidateAdapter) int {
	return cmp.Or(
		left.copies-right.copies,
		right.waiting-left.waiting,
		cmp.Compare(right.rate, left.rate),
		left.number-right.number,
	)
}

// addAdapters loads adapters of loaded models that have too few copies. An adapter is urgent if requests wait for it, or if
// clients request it and it is loaded nowhere.
func (p *planner) addAdapters(selected priority) {
	var candidates []candidateAdapter
	for model, adapters := range p.items.catalog.adapters {
		if len(adapters) == 0 || p.counts.loaded(model) == 0 {
			continue
		}
		for _, number := range adapters {
			copies := p.counts.loaded(number)
			if copies < adapterCopies {
				copies += p.loadsPending(number)
			}
			demand := p.demand.of(number)
			isUrgent := demand.Waiting > 0 || copies == 0 && demand.Rate > 0
			if copies < adapterCopies && priorityOf(isUrgent) == selected {
				candidates = append(candidates, candidateAdapter{number, demand.Waiting, copies, demand.Rate})
			}
		}
	}
	slices.SortFunc(candidates, compareCandidateAdapters)
	for _, candidate := range candidates {
		p.addAdapter(candidate.number, candidate.isRequested())
	}
}

// addAdapter loads an adapter at the host of its model with the fewest adapters. If no host has room, another adapter or a
// dispensable model is unloaded for an adapter that is requested. If that is not possible either and requests wait for the
// adapter, a copy of its model is added elsewhere.
func (p *planner) addAdapter(number int, isRequested bool) {
	model := p.items.at(number).model
	var best *serverState
	for _, position := range p.serversForAdapter(model) {
		state := &p.servers[position]
		if !state.hasLoaded(number) && (best == nil || len(state.adapters) < len(best.adapters)) {
			best = state
		}
	}
	if best != nil {
		p.load(best, number, adapterLoadReason)
		return
	}
	hasWaiting := p.demand.of(number).Waiting > 0
	if !isRequested || p.swapAdapter(adapterSwap{model, hasWaiting}) || p.evictForAdapter(number, hasWaiting) {
		return
	}
	if hasWaiting {
		p.addCopyForAdapter(number)
	}
}

// serversForAdapter returns the positions of the idle hosts of a model that have room for one more of its adapters.
func (p *planner) serversForAdapter(model int) []int {
	positions, known := p.indexes.adapterCandidates[model]
	if !known && p.items.isConfiguredModel(model) {
		for _, position := range p.counts.hosts[model] {
			if p.fitsAnotherAdapter(&p.servers[position], model) {
				positions = append(positions, position)
			}
		}
	}
	idle := positions[:0]
	for _, position := range positions {
		if p.servers[position].isIdle() {
			idle = append(idle, position)
		}
	}
	p.indexes.adapterCandidates[model] = idle
	return idle
}

// fitsAnotherAdapter reports whether a server has the memory and a slot for one more adapter of a model.
func (p *planner) fitsAnotherAdapter(state *serverState, model int) bool {
	return state.adapterSlotsUsed < p.runtime.AdapterCapacity &&
		state.memoryUsed+p.items.adapterSize(model) <= p.capacity
}
