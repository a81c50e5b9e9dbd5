package place

import "math"

// unloadAdapter makes a place for an adapter of the model: at one of its holders that have none left,
// the adapter with the least loss goes. It reports whether there was one.
func (p *planner) unloadAdapter(model int, waited bool) bool {
	attempt := 2 * model
	if waited {
		attempt++
	}
	if p.swapImpossible[attempt] || model >= len(p.holders) {
		return false
	}
	var best *serverState
	victim, lowest := "", 0.0
	for _, position := range p.holders[model] {
		state := &p.servers[position]
		if !state.idle() || p.hasAdapterRoom(state, model) || !p.adaptersMakeWay(state, model, waited) {
			continue
		}
		for _, number := range state.adapters {
			if !p.expendableAdapter(number, waited) {
				continue
			}
			loss, name := p.adapterLoss(number), p.item(number).name
			if best == nil || loss < lowest || loss == lowest && name < victim {
				best, victim, lowest = state, name, loss
			}
		}
	}
	if best == nil {
		p.swapImpossible[attempt] = true
		return false
	}
	p.record(best, Action{Model: victim, Why: adapterSwapReason})
	return true
}

// withoutExpendableAdapters is how much room and how many places would be taken at a server once all
// adapters that may make way are gone.
func (p *planner) withoutExpendableAdapters(state *serverState, waited bool) (used roomSize, places int) {
	used, places = state.used, state.places
	for _, number := range state.adapters {
		if p.expendableAdapter(number, waited) {
			used -= p.heldSize(state, number)
			places--
		}
	}
	return used, places
}

// adaptersMakeWay reports whether a server has room and a place for an adapter of the model then.
func (p *planner) adaptersMakeWay(state *serverState, model int, waited bool) bool {
	used, places := p.withoutExpendableAdapters(state, waited)
	return used+p.adapterSize(model) <= p.room && places < p.runtime.AdapterCapacity
}

// mayHavePlace reports whether a server has a place for an adapter, or has one then.
func (p *planner) mayHavePlace(state *serverState, waited bool) bool {
	_, places := p.withoutExpendableAdapters(state, waited)
	return places < p.runtime.AdapterCapacity
}

// expendableAdapter reports whether an adapter may make way for another one. One with a single copy goes
// only if nobody waits for it or runs it, and if its rate is 0, or below rareRate where the new one is
// waited for. One that the configuration does not name may always go.
func (p *planner) expendableAdapter(number int, waited bool) bool {
	bearable := 0.0
	if waited {
		bearable = rareRate
	}
	demand := p.ownDemand(number)
	wanted := demand.Waiting > 0 || demand.Running > 0 || demand.Rate > bearable
	return !p.listed(number) || p.remaining(number) > 1 || !wanted
}

// adapterLoss is what unloading one copy of an adapter costs. What the configuration does not name
// goes first.
func (p *planner) adapterLoss(number int) float64 {
	if !p.listed(number) {
		return math.Inf(-1)
	}
	copies := float64(p.remaining(number))
	return p.ownDemand(number).Rate/copies - copies
}

// unloadForAdapter makes room for an adapter at one of the full holders of its model that have a place for
// it, or can have one: where that costs least, the first victim goes. The intent marks that holder until the
// unload is done, so that one at a time makes room. It reports whether one does.
func (p *planner) unloadForAdapter(adapter int, waited bool) bool {
	model := p.item(adapter).model
	if p.intended[p.item(model).name] > 0 || model >= len(p.holders) {
		return p.intended[p.item(model).name] > 0
	}
	best, victim, lowest := -1, -1, 0.0
	for _, position := range p.holders[model] {
		state := &p.servers[position]
		if !state.free() || !p.mayHavePlace(state, waited) {
			continue
		}
		first, cost, possible := p.adapterRoomCost(state, adapter)
		if possible && (best < 0 || cost < lowest) {
			best, victim, lowest = position, first, cost
		}
	}
	if best < 0 {
		return false
	}
	state, wanted := &p.servers[best], p.item(model).name
	p.record(state, Action{
		Model:  p.item(victim).name,
		Intent: wanted,
		Why:    "makes way for " + p.item(adapter).name,
	})
	p.setIntent(state, wanted)
	return true
}

// copyForAdapter adds a copy of an adapter's model where none of those there are has room for the adapter,
// now or once what may go has gone. Where only places are lacking, the adapters there take turns.
func (p *planner) copyForAdapter(adapter int) {
	model := p.item(adapter).model
	if p.onItsWay(model) || model >= len(p.holders) {
		return
	}
	for _, position := range p.holders[model] {
		state := &p.servers[position]
		if p.excess(state, adapter) <= 0 || p.adaptersMakeWay(state, model, true) {
			return
		}
		if _, _, possible := p.adapterRoomCost(state, adapter); possible && p.mayHavePlace(state, true) {
			return
		}
	}
	p.addCopy(model, adapterCopyReason)
}

// adapterRoomCost is the first victim for an adapter at a server and what room for the adapter costs,
// and whether it can be made. The adapter's own model stays.
func (p *planner) adapterRoomCost(state *serverState, adapter int) (first int, cost float64, possible bool) {
	p.rankVictims(state)
	first = -1
	need := p.excess(state, adapter)
	for _, next := range state.victims {
		if need <= 0 {
			break
		}
		if next.model == p.item(adapter).model || !p.expendable(state, next.model, p.remaining) {
			continue
		}
		if first < 0 {
			first = next.model
		}
		need -= next.freed
		cost += next.loss
	}
	return first, cost, first >= 0 && need <= 0
}
