package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// adapterCost is the disturbance, for each request a second, of a model with adapters.
	adapterCost = 3.0
	// recentDemand is how long ago a request may be for the loss of its model to count it.
	recentDemand = 20 * time.Second
	// rateLoss and oftenWeight weigh Demand.Rate and Demand.Often in the loss of a copy.
	rateLoss    = 4
	oftenWeight = 15.0
	// adaptersLoss is what a copy of a model with adapters is worth beside.
	adaptersLoss = 3
	// unlistedLoss is that of a model which the configuration does not name: the first to go.
	unlistedLoss = -1
)

// rankVictims works out a server's disturbance and victims, once for each plan.
func (p *planner) rankVictims(state *serverState) {
	if state.victimsRanked {
		return
	}
	state.victimsRanked = true
	for _, model := range state.models {
		demand, copies := p.totalDemand(model), float64(max(p.copies[model], 1))
		state.disturbance += demand.Reading / copies
		if p.adapterCount(model) > 0 {
			state.disturbance += adapterCost * min(demand.Rate, 1) / copies
		}
		if p.expendable(state, model, p.copyCount) {
			state.victims = append(state.victims, victim{model, p.loss(model), p.freed(state, model)})
		}
	}
	slices.SortFunc(state.victims, func(left, right victim) int {
		names := cmp.Compare(p.item(left.model).name, p.item(right.model).name)
		return cmp.Or(cmp.Compare(left.loss, right.loss), names)
	})
}

// freed is the room that a model leaves with its adapters, as they count at the server.
func (p *planner) freed(state *serverState, model int) roomSize {
	total := p.heldSize(state, model)
	for _, adapter := range state.adapters {
		if p.item(adapter).model == model {
			total += p.heldSize(state, adapter)
		}
	}
	return total
}

// loss is what unloading one copy of a model costs: less the longer ago it was asked for, and the
// more other copies it has.
func (p *planner) loss(model int) float64 {
	if !p.listed(model) {
		return unlistedLoss
	}
	demand := p.totalDemand(model)
	others := p.copies[model] - 1
	loss := 0.0
	unseen := p.view.Now.Sub(demand.LastSeen)
	if !demand.LastSeen.IsZero() && unseen < recentDemand {
		loss += 1 - unseen.Seconds()/recentDemand.Seconds()
	}
	loss += (demand.Rate*rateLoss + demand.Often*oftenWeight) / float64(1+others*others*4)
	if p.adapterCount(model) > 0 {
		loss += adaptersLoss
	}
	return loss
}

// expendable reports whether a server's copy of a model may be unloaded. count returns how many copies
// a model or adapter has: those there are, or those that the plan leaves. The last copy in demand
// stays, and so does one with the last copy of an adapter of a hot model; what is left must be as
// many as the target, or for a model seldom asked for as many as its runs need. Before the demand
// is learned, only single copies go. A model that the configuration does not name may always go.
func (p *planner) expendable(state *serverState, model int, count func(number int) int) bool {
	if !p.listed(model) {
		return true
	}
	demand := p.totalDemand(model)
	copies := count(model)
	if copies <= 1 && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > hotRate) {
		return false
	}
	if !p.view.Learned && copies >= 2 {
		return false
	}
	if demand.Rate > hotRate && p.lastAdapter(state, model, count) {
		return false
	}
	rest := float64(copies - 1)
	if rest >= max(p.target(model), math.Ceil(demand.Reading/readShare)) {
		return true
	}
	return demand.Rate < rareRate && rest >= p.needed(demand)
}

// lastAdapter reports whether a server holds the last copy of a listed adapter of the model.
func (p *planner) lastAdapter(state *serverState, model int, count func(number int) int) bool {
	for _, adapter := range state.adapters {
		if p.item(adapter).model == model && p.listed(adapter) && count(adapter) <= 1 {
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
		if p.expendable(state, next.model, p.remaining) {
			need -= next.freed
			if first < 0 {
				first = next.model
			}
		}
	}
	if first < 0 || need > 0 {
		p.setIntent(state, "")
		return false
	}
	wanted := p.item(model).name
	p.record(state, Action{
		Model:  p.item(first).name,
		Intent: wanted,
		Why:    "makes way for " + wanted,
	})
	return true
}
