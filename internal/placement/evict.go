package placement

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// adapterDisruption is the disruption per request per second of a model with adapters.
	adapterDisruption = 3.0
	// recentDemandWindow is the time since a model's last request after which it no longer adds to the unload cost.
	recentDemandWindow = 20 * time.Second
	// rateWeight and longTermRateWeight are the weights of Demand.Rate and Demand.LongTermRate in the unload cost.
	rateWeight         = 4
	longTermRateWeight = 15.0
	// otherCopiesWeight is the weight of the squared number of other copies, which lowers the unload cost of a copy.
	otherCopiesWeight = 4
	// adaptersCost is added to the unload cost of a model with adapters.
	adaptersCost = 3
	// unconfiguredCost is the unload cost of an unconfigured model. It is below all others, so that such a model is
	// unloaded first.
	unconfiguredCost = -1
	// maxDisruptedRate is the highest rate of a model with adapters that counts towards the disruption.
	maxDisruptedRate = 1
)

// rankVictims computes a server's disruption and its victims, the cheapest first. It does so once per plan.
func (p *planner) rankVictims(state *serverState) {
	if state.victimsRanked {
		return
	}
	state.victimsRanked = true
	for _, model := range state.models {
		demand := p.demand.total(model)
		copies := float64(max(p.counts.loaded(model), 1))
		state.disruption += demand.PrefillLoad / copies
		if p.items.adapterCount(model) > 0 {
			state.disruption += adapterDisruption * min(demand.Rate, maxDisruptedRate) / copies
		}
		if p.canEvict(state, model, p.counts.loaded) {
			state.victims = append(state.victims, victim{model, p.unloadCost(model), p.freedMemory(state, model)})
		}
	}
	slices.SortFunc(state.victims, func(left, right victim) int {
		names := cmp.Compare(p.items.at(left.model).name, p.items.at(right.model).name)
		return cmp.Or(cmp.Compare(left.cost, right.cost), names)
	})
}

// freedMemory returns the memory that unloading a model and its adapters frees at a server.
func (p *planner) freedMemory(state *serverState, model int) memoryUnits {
	total := p.loadedSize(state, model)
	for _, adapter := range state.adapters {
		if p.items.at(adapter).model == model {
			total += p.loadedSize(state, adapter)
		}
	}
	return total
}

// unloadCost returns the cost of unloading one copy of a model. It is lower the longer ago the last request was, the lower
// the rate, and the more other copies there are.
func (p *planner) unloadCost(model int) float64 {
	if !p.items.isConfigured(model) {
		return unconfiguredCost
	}
	demand := p.demand.total(model)
	otherCopies := p.counts.loaded(model) - 1
	cost := 0.0
	sinceLastRequest := p.view.Now.Sub(demand.LastRequestAt)
	if !demand.LastRequestAt.IsZero() && sinceLastRequest < recentDemandWindow {
		cost += 1 - sinceLastRequest.Seconds()/recentDemandWindow.Seconds()
	}
	rates := demand.Rate*rateWeight + demand.LongTermRate*longTermRateWeight
	cost += rates / float64(1+otherCopies*otherCopies*otherCopiesWeight)
	if p.items.adapterCount(model) > 0 {
		cost += adaptersCost
	}
	return cost
}

// canEvict reports whether a server's copy of a model may be unloaded. countCopies returns how many copies an item has:
// counts.loaded or counts.remaining.
//
// The last copy of a model in demand is kept, and so is a copy of a hot model at the server with the last copy of one of
// its adapters. Otherwise the remaining copies must reach the target or, for a rarely used model, suffice for its running
// requests. Before the demand is known, only models with a single copy are evicted, since several copies suggest a demand
// that has not been observed yet. An unconfigured model may always be evicted.
func (p *planner) canEvict(state *serverState, model int, countCopies func(number int) int) bool {
	if !p.items.isConfigured(model) {
		return true
	}
	demand := p.demand.total(model)
	copies := countCopies(model)
	if copies <= 1 && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > hotRate) {
		return false
	}
	if !p.view.DemandKnown && copies >= 2 {
		return false
	}
	if demand.Rate > hotRate && p.hasLastAdapterCopy(state, model, countCopies) {
		return false
	}
	remaining := float64(copies - 1)
	if remaining >= max(p.targetCopies(model), math.Ceil(demand.PrefillLoad/maxPrefillLoad)) {
		return true
	}
	return demand.Rate < rareRate && remaining >= p.copiesNeeded(demand)
}

// hasLastAdapterCopy reports whether a server has the last copy of a configured adapter of the model.
func (p *planner) hasLastAdapterCopy(state *serverState, model int, countCopies func(number int) int) bool {
	for _, adapter := range state.adapters {
		isOfModel := p.items.at(adapter).model == model && p.items.isConfigured(adapter)
		if isOfModel && countCopies(adapter) <= 1 {
			return true
		}
	}
	return false
}

// evict plans the unload of one victim, the cheapest of those chosen, for a model to be loaded at the server. If all victims
// that may still be unloaded do not free enough memory, it clears the intent and reports false.
func (p *planner) evict(state *serverState, model int) bool {
	p.rankVictims(state)
	remaining := make([]victim, 0, len(state.victims))
	for _, next := range state.victims {
		if p.canEvict(state, next.model, p.counts.remaining) {
			remaining = append(remaining, next)
		}
	}
	chosen, _, possible := chooseVictims(remaining, p.excess(state, model))
	if !possible || chosen == 0 {
		p.setIntent(state, "")
		return false
	}
	first := remaining[bits.TrailingZeros64(uint64(chosen))].model
	name := p.items.at(model).name
	p.recordAction(state, Action{
		Model:  p.items.at(first).name,
		Intent: name,
		Reason: evictionReasonPrefix + name,
	})
	return true
}

// evictionReasonPrefix is the prefix of Action.Reason of an unload that frees memory; the name of the model or adapter to be
// loaded follows.
const evictionReasonPrefix = "makes way for "
