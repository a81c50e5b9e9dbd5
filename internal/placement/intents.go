package placement

import (
	"cmp"
	"slices"
)

// intendedLoad is a server that frees memory for a model.
type intendedLoad struct {
	state *serverState
	candidateModel
}

// fulfilIntents uses memory that was freed earlier, for the most urgent model first, and drops intents
// that are obsolete. It reserves store tokens for the intents that remain.
func (p *planner) fulfilIntents() {
	for _, load := range p.intendedLoads() {
		p.fulfilIntent(load.state, load.model)
	}
	for index := range p.servers {
		state := &p.servers[index]
		if intent := state.server.Intent; intent != "" && state.isServing && !state.server.OnDisk[intent] {
			p.decisions.reservedTokens++
		}
	}
}

// intendedLoads returns the intents of idle servers, the most urgent first, and drops obsolete ones.
func (p *planner) intendedLoads() []intendedLoad {
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
		candidate := candidateModel{model, p.urgency(model, p.demand.total(model))}
		loads = append(loads, intendedLoad{state, candidate})
	}
	slices.SortStableFunc(loads, func(left, right intendedLoad) int {
		return cmp.Compare(right.urgency, left.urgency)
	})
	return loads
}

// fulfilIntent loads a model that fits now, or unloads one more model if it does not. An earlier load of
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

// intentObsolete reports whether a load from the model store is no longer worth the memory freed for it:
// nobody asks for the model, or it has copies enough. A load from the server's own disk is always worth
// it, unless the model is unconfigured.
func (p *planner) intentObsolete(state *serverState, model int) bool {
	if !p.items.isConfigured(model) {
		return true
	}
	if state.server.OnDisk[p.items.at(model).name] {
		return false
	}
	demand := p.demand.total(model)
	present := float64(p.counts.loaded(model) + p.loadsPending(model))
	unwanted := present == 0 && demand.Waiting == 0 && demand.Rate < rareRate
	return unwanted || present >= p.targetCopies(model)
}
