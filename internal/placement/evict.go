package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// adapterDisruption is the disturbance, for each request a second, of a model with adapters.
	adapterDisruption = 3.0
	// recentDemandWindow is how long ago a request may be for the loss of its model to count it.
	recentDemandWindow = 20 * time.Second
	// rateWeight and longTermRateWeight weigh Demand.Rate and Demand.LongTermRate in the loss of a copy.
	rateWeight         = 4
	longTermRateWeight = 15.0
	// adaptersCost is what a copy of a model with adapters is worth beside.
	adaptersCost = 3
	// unconfiguredCost is that of a model which the configuration does not name: the first to go.
	unconfiguredCost = -1
)

// rankVictims works out a server's disturbance and victims, once for each plan.
func (p *planner) rankVictims(state *serverState) {
	if state.victimsRanked {
		return
	}
	state.victimsRanked = true
	for _, model := range state.models {
		demand, copies := p.totalDemand(model), float64(max(p.copies[model], 1))
		state.disruption += demand.PrefillLoad / copies
		if p.adapterCount(model) > 0 {
			state.disruption += adapterDisruption * min(demand.Rate, 1) / copies
		}
		if p.canEvict(state, model, p.copiesLoaded) {
			state.victims = append(state.victims, victim{model, p.unloadCost(model), p.freedMemory(state, model)})
		}
	}
	slices.SortFunc(state.victims, func(left, right victim) int {
		names := cmp.Compare(p.item(left.model).name, p.item(right.model).name)
		return cmp.Or(cmp.Compare(left.cost, right.cost), names)
	})
}

// freed is the room that a model leaves with its adapters, as they count at the server.
func (p *planner) freedMemory(state *serverState, model int) memoryUnits {
	total := p.loadedSize(state, model)
	for _, adapter := range state.adapters {
		if p.item(adapter).model == model {
			total += p.loadedSize(state, adapter)
		}
	}
	return total
}

// loss is what unloading one copy of a model costs: less the longer ago it was asked for, and the
// more other copies it has.
func (p *planner) unloadCost(model int) float64 {
	if !p.isConfigured(model) {
		return unconfiguredCost
	}
	demand := p.totalDemand(model)
	others := p.copies[model] - 1
	cost := 0.0
	unseen := p.view.Now.Sub(demand.LastSeen)
	if !demand.LastSeen.IsZero() && unseen < recentDemandWindow {
		cost += 1 - unseen.Seconds()/recentDemandWindow.Seconds()
	}
	cost += (demand.Rate*rateWeight + demand.LongTermRate*longTermRateWeight) / float64(1+others*others*4)
	if p.adapterCount(model) > 0 {
		cost += adaptersCost
	}
	return cost
}

// expendable reports whether a server's copy of a model may be unloaded. count returns how many copies
// a model or adapter has: those there are, or those that the plan leaves. The last copy in demand
// stays, and so does one with the last copy of an adapter of a hot model; what is left must be as
// many as the target, or for a model seldom asked for as many as its runs need. Before the demand
// is learned, only single copies go. A model that the configuration does not name may always go.
func (p *planner) canEvict(state *serverState, model int, count func(number int) int) bool {
	if !p.isConfigured(model) {
		return true
	}
	demand := p.totalDemand(model)
	copies := count(model)
	if copies <= 1 && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > hotRate) {
		return false
	}
	if !p.view.DemandKnown && copies >= 2 {
		return false
	}
	if demand.Rate > hotRate && p.hasLastAdapterCopy(state, model, count) {
		return false
	}
	rest := float64(copies - 1)
	if rest >= max(p.targetCopies(model), math.Ceil(demand.PrefillLoad/maxPrefillLoad)) {
		return true
	}
	return demand.Rate < rareRate && rest >= p.copiesNeeded(demand)
}

// hasLastAdapterCopy reports whether a server holds the last copy of a listed adapter of the model.
func (p *planner) hasLastAdapterCopy(state *serverState, model int, count func(number int) int) bool {
	for _, adapter := range state.adapters {
		if p.item(adapter).model == model && p.isConfigured(adapter) && count(adapter) <= 1 {
			return true
		}
	}
	return false
}

// evict unloads the first victim for a model that is to be loaded at the server. It reports false,
// and drops the intent, if what may still go does not make room enough.
func (p *planner) evict(state *serverState, model int) bool {
	p.rankVictims(state)
	need := p.excess(state, model)
	first := -1
	for _, next := range state.victims {
		if p.canEvict(state, next.model, p.copiesRemaining) {
			need -= next.freedMemory
			if first < 0 {
				first = next.model
			}
		}
	}
	if first < 0 || need > 0 {
		p.setIntent(state, "")
		return false
	}
	modelName := p.item(model).name
	p.recordAction(state, Action{
		Model:  p.item(first).name,
		Intent: modelName,
		Reason: "makes way for " + modelName,
	})
	return true
}
