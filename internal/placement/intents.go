package placement

import (
	"cmp"
	"slices"
)

// intendedLoad is a server that makes room for a model.
type intendedLoad struct {
	state *serverState
	candidateModel
}

// fulfilIntents uses room that was made earlier, for the most urgent model first, and drops intents
// that nobody needs any longer.
func (p *planner) fulfilIntents() {
	var loads []intendedLoad
	for index := range p.servers {
		state := &p.servers[index]
		if !state.isIdle() || state.server.Intent == "" {
			continue
		}
		model := p.itemNumber(state.server.Intent)
		if state.hasLoaded(model) || p.intentObsolete(state, model) {
			p.setIntent(state, "")
			continue
		}
		candidate := candidateModel{model, p.urgency(model, p.totalDemand(model))}
		loads = append(loads, intendedLoad{state, candidate})
	}
	slices.SortStableFunc(loads, func(left, right intendedLoad) int {
		return cmp.Compare(right.urgency, left.urgency)
	})
	for _, load := range loads {
		p.fulfilIntent(load.state, load.model)
	}
	for index := range p.servers {
		state := &p.servers[index]
		if intent := state.server.Intent; intent != "" && state.isServing && !state.server.OnDisk[intent] {
			p.reservedTokens++
		}
	}
}

// fulfilIntent loads what fits now, or unloads one more model where it does not. An earlier load of
// the same plan may have made the intent obsolete.
func (p *planner) fulfilIntent(state *serverState, model int) {
	switch {
	case p.intentObsolete(state, model):
		p.setIntent(state, "")
	case !p.fits(state, model):
		p.evict(state, model)
	case p.mayLoad(state, model):
		p.load(state, model, "room was made for it")
	}
}

// intentObsolete reports whether a model from the store is no longer worth the room made for it:
// nobody asks for it, or it has copies enough. A load from the server's own disk is always worth it,
// unless the configuration does not name the model.
func (p *planner) intentObsolete(state *serverState, model int) bool {
	if !p.isConfigured(model) {
		return true
	}
	if state.server.OnDisk[p.item(model).name] {
		return false
	}
	demand := p.totalDemand(model)
	present := float64(p.copies[model] + p.loadsPending(model))
	unwanted := present == 0 && demand.Waiting == 0 && demand.Rate < rareRate
	return unwanted || present >= p.targetCopies(model)
}
