package placement

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// adapterDisruption is the disruption, for each request per second, of a model with adapters.
	adapterDisruption = 3.0
	// recentDemandWindow is how long ago a model's last request may be to add to its unload cost.
	recentDemandWindow = 20 * time.Second
	// rateWeight and longTermRateWeight weigh Demand.Rate and Demand.LongTermRate in the unload cost.
	rateWeight         = 4
	longTermRateWeight = 15.0
	// otherCopiesWeight is how fast further copies of a model lower the unload cost of each.
	otherCopiesWeight = 4
	// adaptersCost is added to the unload cost of a model with adapters.
	adaptersCost = 3
	// unconfiguredCost is the unload cost of an unconfigured model: it is unloaded first.
	unconfiguredCost = -1
	// maxDisruptedRate limits the rate that counts as disrupted for a model with adapters.
	maxDisruptedRate = 1
)

// rankVictims computes a server's disruption and victims, once for each plan.
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

// freedMemory is the memory that unloading a model with its adapters frees at a server.
func (p *planner) freedMemory(state *serverState, model int) memoryUnits {
	total := p.loadedSize(state, model)
	for _, adapter := range state.adapters {
		if p.items.at(adapter).model == model {
			total += p.loadedSize(state, adapter)
		}
	}
	return total
}

// unloadCost is the cost of unloading one copy of a model: lower the longer ago it was asked for, and
// the more other copies it has.
func (p *planner) unloadCost(model int) float64 {
	if !p.items.isConfigured(model) {
		return unconfiguredCost
	}
	demand := p.demand.total(model)
	otherCopies := p.counts.loaded(model) - 1
	cost := 0.0
	unseen := p.view.Now.Sub(demand.LastRequestAt)
	if !demand.LastRequestAt.IsZero() && unseen < recentDemandWindow {
		cost += 1 - unseen.Seconds()/recentDemandWindow.Seconds()
	}
	rates := demand.Rate*rateWeight + demand.LongTermRate*longTermRateWeight
	cost += rates / float64(1+otherCopies*otherCopies*otherCopiesWeight)
	if p.items.adapterCount(model) > 0 {
		cost += adaptersCost
	}
	return cost
}

// canEvict reports whether a server's copy of a model may be unloaded. countCopies returns how many copies
// an item has: counts.loaded or counts.remaining. The last copy of a model in demand stays, and so does
// one beside the last copy of an adapter of a hot model. Otherwise the copies left must reach the target,
// or for a rarely used model be enough for its running requests. Before the demand is known, only
// models with a single copy go. An unconfigured model may always go.
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
	rest := float64(copies - 1)
	if rest >= max(p.targetCopies(model), math.Ceil(demand.PrefillLoad/maxPrefillLoad)) {
		return true
	}
	return demand.Rate < rareRate && rest >= p.copiesNeeded(demand)
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

// evict unloads the first of the victims for a model that is to be loaded at the server. It reports false,
// and drops the intent, if unloading all that may still go would not free enough memory.
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
		Reason: makeRoomReason + name,
	})
	return true
}

// makeRoomReason and the name of a model or adapter is the Action.Reason of an unload for it.
const makeRoomReason = "makes way for "
