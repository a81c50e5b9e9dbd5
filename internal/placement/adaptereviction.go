package placement

import "math"

// adapterSwap identifies the replacement of a loaded adapter by an adapter of the given model.
type adapterSwap struct {
	model      int
	hasWaiting bool // requests wait for the adapter that is to be loaded
}

// swapAdapter unloads an adapter to make room for one of the given model. Of the adapters at the model's hosts that lack
// room for another adapter, it chooses the one with the lowest unload cost. It reports whether it found one.
func (p *planner) swapAdapter(swap adapterSwap) bool {
	if p.indexes.adapterSwapImpossible[swap] || !p.items.isConfiguredModel(swap.model) {
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
		p.indexes.adapterSwapImpossible[swap] = true
		return false
	}
	p.recordAction(best, Action{Model: victim, Reason: adapterSwapReason})
	return true
}

// usageAfterAdapterUnloads returns the memory and the adapter slots that would be in use at a server after unloading all
// adapters that may be unloaded.
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

// fitsAfterAdapterUnloads reports whether a server would have the memory and a slot for an adapter of the model after
// unloading all adapters that may be unloaded.
func (p *planner) fitsAfterAdapterUnloads(state *serverState, swap adapterSwap) bool {
	memory, slots := p.usageAfterAdapterUnloads(state, swap.hasWaiting)
	return memory+p.items.adapterSize(swap.model) <= p.capacity && slots < p.runtime.AdapterCapacity
}

// hasSlotAfterAdapterUnloads reports whether a server would have a slot for an adapter after unloading all adapters that
// may be unloaded.
func (p *planner) hasSlotAfterAdapterUnloads(state *serverState, hasWaiting bool) bool {
	_, slots := p.usageAfterAdapterUnloads(state, hasWaiting)
	return slots < p.runtime.AdapterCapacity
}

// canUnloadAdapter reports whether an adapter may be unloaded for another one. The last copy of an adapter may be unloaded
// only if no requests wait for it or run on it and its rate is 0, or at most rareRate if requests wait for the other one.
// An unconfigured adapter may always be unloaded.
func (p *planner) canUnloadAdapter(number int, hasWaiting bool) bool {
	toleratedRate := 0.0
	if hasWaiting {
		toleratedRate = rareRate
	}
	demand := p.demand.of(number)
	inDemand := demand.Waiting > 0 || demand.Running > 0 || demand.Rate > toleratedRate
	return !p.items.isConfigured(number) || p.counts.remaining(number) > 1 || !inDemand
}

// adapterUnloadCost returns the cost of unloading one copy of an adapter. It is lowest for unconfigured adapters.
func (p *planner) adapterUnloadCost(number int) float64 {
	if !p.items.isConfigured(number) {
		return math.Inf(-1)
	}
	copies := float64(p.counts.remaining(number))
	return p.demand.of(number).Rate/copies - copies
}

// evictForAdapter starts to free memory for an adapter at a host of its model that has, or can have, an adapter slot for
// it. It unloads the first victim at the host where freeing the memory costs least. The host has an intent until the unload
// is done, so that only one host at a time frees memory. evictForAdapter reports whether one does so now.
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
		Reason: evictionReasonPrefix + p.items.at(adapter).name,
	})
	p.setIntent(state, modelName)
	return true
}

// addCopyForAdapter adds a copy of an adapter's model if none of the model's hosts has memory for the adapter, now or after
// unloads. It adds none if a host lacks only an adapter slot: the adapters then replace each other there.
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

// adapterEvictionCost returns the first victim to unload for an adapter at a server, the cost of freeing enough memory for
// it, and whether that is possible. The adapter's own model is never a victim.
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
