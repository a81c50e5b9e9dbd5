package placement

import "math"

// swapAdapter makes a place for an adapter of the model: at one of its holders that have none left,
// the adapter with the least loss goes. It reports whether there was one.
func (p *planner) swapAdapter(model int, hasWaiting bool) bool {
	attempt := 2 * model
	if hasWaiting {
		attempt++
	}
	if p.adapterSwapImpossible[attempt] || model >= len(p.hosts) {
		return false
	}
	var best *serverState
	victim, lowest := "", 0.0
	for _, position := range p.hosts[model] {
		state := &p.servers[position]
		if !state.isIdle() || p.fitsAnotherAdapter(state, model) || !p.fitsAfterAdapterUnloads(state, model, hasWaiting) {
			continue
		}
		for _, number := range state.adapters {
			if !p.canUnloadAdapter(number, hasWaiting) {
				continue
			}
			cost, name := p.adapterUnloadCost(number), p.item(number).name
			if best == nil || cost < lowest || cost == lowest && name < victim {
				best, victim, lowest = state, name, cost
			}
		}
	}
	if best == nil {
		p.adapterSwapImpossible[attempt] = true
		return false
	}
	p.recordAction(best, Action{Model: victim, Reason: adapterSwapReason})
	return true
}

// usageAfterAdapterUnloads is how much room and how many places would be taken at a server once all
// adapters that may make way are gone.
func (p *planner) usageAfterAdapterUnloads(state *serverState, hasWaiting bool) (memory memoryUnits, adapterSlots int) {
	memory, adapterSlots = state.memoryUsed, state.adapterSlotsUsed
	for _, number := range state.adapters {
		if p.canUnloadAdapter(number, hasWaiting) {
			memory -= p.loadedSize(state, number)
			adapterSlots--
		}
	}
	return memory, adapterSlots
}

// fitsAfterAdapterUnloads reports whether a server has room and a place for an adapter of the model then.
func (p *planner) fitsAfterAdapterUnloads(state *serverState, model int, hasWaiting bool) bool {
	memory, adapterSlots := p.usageAfterAdapterUnloads(state, hasWaiting)
	return memory+p.adapterSize(model) <= p.capacity && adapterSlots < p.runtime.AdapterCapacity
}

// hasSlotAfterAdapterUnloads reports whether a server has a place for an adapter, or has one then.
func (p *planner) hasSlotAfterAdapterUnloads(state *serverState, hasWaiting bool) bool {
	_, adapterSlots := p.usageAfterAdapterUnloads(state, hasWaiting)
	return adapterSlots < p.runtime.AdapterCapacity
}

// canUnloadAdapter reports whether an adapter may make way for another one. One with a single copy goes
// only if nobody waits for it or runs it, and if its rate is 0, or below rareRate where the new one is
// waited for. One that the configuration does not name may always go.
func (p *planner) canUnloadAdapter(number int, hasWaiting bool) bool {
	toleratedRate := 0.0
	if hasWaiting {
		toleratedRate = rareRate
	}
	demand := p.ownDemand(number)
	inDemand := demand.Waiting > 0 || demand.Running > 0 || demand.Rate > toleratedRate
	return !p.isConfigured(number) || p.copiesRemaining(number) > 1 || !inDemand
}

// adapterUnloadCost is what unloading one copy of an adapter costs. What the configuration does not name
// goes first.
func (p *planner) adapterUnloadCost(number int) float64 {
	if !p.isConfigured(number) {
		return math.Inf(-1)
	}
	copies := float64(p.copiesRemaining(number))
	return p.ownDemand(number).Rate/copies - copies
}

// evictForAdapter makes room for an adapter at one of the full holders of its model that have a place for
// it, or can have one: where that costs least, the first victim goes. The intent marks that holder until the
// unload is done, so that one at a time makes room. It reports whether one does.
func (p *planner) evictForAdapter(adapter int, hasWaiting bool) bool {
	model := p.item(adapter).model
	if p.intended[p.item(model).name] > 0 || model >= len(p.hosts) {
		return p.intended[p.item(model).name] > 0
	}
	best, victim, lowest := -1, -1, 0.0
	for _, position := range p.hosts[model] {
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
	state, modelName := &p.servers[best], p.item(model).name
	p.recordAction(state, Action{
		Model:  p.item(victim).name,
		Intent: modelName,
		Reason: "makes way for " + p.item(adapter).name,
	})
	p.setIntent(state, modelName)
	return true
}

// addCopyForAdapter adds a copy of an adapter's model where none of those there are has room for the adapter,
// now or once what may go has gone. Where only places are lacking, the adapters there take turns.
func (p *planner) addCopyForAdapter(adapter int) {
	model := p.item(adapter).model
	if p.isMaybeLoading(model) || model >= len(p.hosts) {
		return
	}
	for _, position := range p.hosts[model] {
		state := &p.servers[position]
		if p.excess(state, adapter) <= 0 || p.fitsAfterAdapterUnloads(state, model, true) {
			return
		}
		if _, _, possible := p.adapterEvictionCost(state, adapter); possible && p.hasSlotAfterAdapterUnloads(state, true) {
			return
		}
	}
	p.addCopy(model, adapterCopyReason)
}

// adapterEvictionCost is the first victim for an adapter at a server and what room for the adapter costs,
// and whether it can be made. The adapter's own model stays.
func (p *planner) adapterEvictionCost(state *serverState, adapter int) (first int, cost float64, possible bool) {
	p.rankVictims(state)
	first = -1
	need := p.excess(state, adapter)
	for _, next := range state.victims {
		if need <= 0 {
			break
		}
		if next.model == p.item(adapter).model || !p.canEvict(state, next.model, p.copiesRemaining) {
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
