package placement

import "math"

// adapterSwap is the unload of an adapter for another one of a model.
type adapterSwap struct {
	model      int
	hasWaiting bool // requests wait for the adapter to be loaded
}

// swapAdapter unloads an adapter in favour of one of the model: at one of the model's hosts without room
// for another adapter, the one with the lowest unload cost. It reports whether there was one.
func (p *planner) swapAdapter(swap adapterSwap) bool {
	if p.searches.adapterSwapImpossible[swap] || !p.items.isConfiguredModel(swap.model) {
		return false
	}
	var best *serverState
	victim, lowest := "", 0.0
	for _, position := range p.counts.hosts[swap.model] {
		state := &p.servers[position]
		if !state.isIdle() || p.fitsAnotherAdapter(state, swap.model) || !p.fitsAfterAdapterUnloads(state, swap) {
			continue
		}
		for _, number := range state.adapters {
			if !p.canUnloadAdapter(number, swap.hasWaiting) {
				continue
			}
			cost, name := p.adapterUnloadCost(number), p.items.at(number).name
			if best == nil || cost < lowest || cost == lowest && name < victim {
				best, victim, lowest = state, name, cost
			}
		}
	}
	if best == nil {
		p.searches.adapterSwapImpossible[swap] = true
		return false
	}
	p.recordAction(best, Action{Model: victim, Reason: adapterSwapReason})
	return true
}

// usageAfterAdapterUnloads is the memory and the adapter slots that would be used at a server after the
// unload of all adapters that may go.
func (p *planner) usageAfterAdapterUnloads(state *serverState, hasWaiting bool) (memory memoryUnits, slots int) {
	memory, slots = state.memoryUsed, state.adapterSlotsUsed
	for _, number := range state.adapters {
		if p.canUnloadAdapter(number, hasWaiting) {
			memory -= p.loadedSize(state, number)
			slots--
		}
	}
	return memory, slots
}

// fitsAfterAdapterUnloads reports whether a server then has memory and a slot for an adapter of the model.
func (p *planner) fitsAfterAdapterUnloads(state *serverState, swap adapterSwap) bool {
	memory, slots := p.usageAfterAdapterUnloads(state, swap.hasWaiting)
	return memory+p.items.adapterSize(swap.model) <= p.capacity && slots < p.runtime.AdapterCapacity
}

// hasSlotAfterAdapterUnloads reports whether a server then has a slot for an adapter.
func (p *planner) hasSlotAfterAdapterUnloads(state *serverState, hasWaiting bool) bool {
	_, slots := p.usageAfterAdapterUnloads(state, hasWaiting)
	return slots < p.runtime.AdapterCapacity
}

// canUnloadAdapter reports whether an adapter may be unloaded for another one. An adapter with a single
// copy goes only if no request waits for it or runs on it, and if its rate is 0, or at most rareRate if
// requests wait for the other one. An unconfigured adapter may always go.
func (p *planner) canUnloadAdapter(number int, hasWaiting bool) bool {
	toleratedRate := 0.0
	if hasWaiting {
		toleratedRate = rareRate
	}
	demand := p.demand.of(number)
	inDemand := demand.Waiting > 0 || demand.Running > 0 || demand.Rate > toleratedRate
	return !p.items.isConfigured(number) || p.counts.remaining(number) > 1 || !inDemand
}

// adapterUnloadCost is the cost of unloading one copy of an adapter. Unconfigured adapters go first.
func (p *planner) adapterUnloadCost(number int) float64 {
	if !p.items.isConfigured(number) {
		return math.Inf(-1)
	}
	copies := float64(p.counts.remaining(number))
	return p.demand.of(number).Rate/copies - copies
}

// evictForAdapter frees memory for an adapter at one of the full hosts of its model that have a slot for
// it, or can have one: where that costs least, the first victim is unloaded. The intent marks that host
// until the unload is done, so that only one host at a time frees memory. It reports whether one does.
func (p *planner) evictForAdapter(adapter int, hasWaiting bool) bool {
	model := p.items.at(adapter).model
	modelName := p.items.at(model).name
	if p.counts.intents[modelName] > 0 {
		return true
	}
	if !p.items.isConfiguredModel(model) {
		return false
	}
	best, victim, lowest := -1, -1, 0.0
	for _, position := range p.counts.hosts[model] {
		state := &p.servers[position]
		if !state.isFree() || !p.hasSlotAfterAdapterUnloads(state, hasWaiting) {
			continue
		}
		first, cost, possible := p.adapterEvictionCost(state, adapter)
		if possible && (best < 0 || cost < lowest) {
			best, victim, lowest = position, first, cost
		}
	}
	if best < 0 {
		return false
	}
	state := &p.servers[best]
	p.recordAction(state, Action{
		Model:  p.items.at(victim).name,
		Intent: modelName,
		Reason: makeRoomReason + p.items.at(adapter).name,
	})
	p.setIntent(state, modelName)
	return true
}

// addCopyForAdapter adds a copy of an adapter's model if none of its hosts has room for the adapter, now
// or after unloads. If only slots are lacking, the adapters there take turns.
func (p *planner) addCopyForAdapter(adapter int) {
	model := p.items.at(adapter).model
	if p.isMaybeLoading(model) || !p.items.isConfiguredModel(model) {
		return
	}
	swap := adapterSwap{model: model, hasWaiting: true}
	for _, position := range p.counts.hosts[model] {
		state := &p.servers[position]
		if p.excess(state, adapter) <= 0 || p.fitsAfterAdapterUnloads(state, swap) {
			return
		}
		_, _, possible := p.adapterEvictionCost(state, adapter)
		if possible && p.hasSlotAfterAdapterUnloads(state, swap.hasWaiting) {
			return
		}
	}
	p.addCopy(model, adapterCopyReason)
}

// adapterEvictionCost is the first victim for an adapter at a server, the cost of freeing enough memory
// for it, and whether that is possible. The adapter's own model stays.
func (p *planner) adapterEvictionCost(state *serverState, adapter int) (first int, cost float64, possible bool) {
	p.rankVictims(state)
	first = -1
	need := p.excess(state, adapter)
	for _, next := range state.victims {
		if need <= 0 {
			break
		}
		if next.model == p.items.at(adapter).model || !p.canEvict(state, next.model, p.counts.remaining) {
			continue
		}
		if first < 0 {
			first = next.model
		}
		need -= next.freedMemory
		cost += next.cost
	}
	return first, cost, first >= 0 && need <= 0
}
