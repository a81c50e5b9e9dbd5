package placement

import "slices"

// intendedLoad is a server with an intent, and the model of that intent.
type intendedLoad struct {
	state *serverState
	candidateModel
}

// fulfilIntents loads models for which earlier plans freed memory, the most urgent first, and clears obsolete intents. It
// reserves store tokens for the remaining intents.
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

// intendedLoads returns the intents of idle servers, the most urgent first, and clears obsolete ones.
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
		loads = append(loads, intendedLoad{state, p.candidate(model)})
	}
	slices.SortStableFunc(loads, func(left, right intendedLoad) int {
		return compareUrgency(left.candidateModel, right.candidateModel)
	})
	return loads
}

// fulfilIntent loads the intended model if it fits now, and otherwise unloads one more model for it. It clears the intent
// if an earlier load of the same plan has made it obsolete.
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

// intentObsolete reports whether the model of an intent should no longer be loaded: it is unconfigured, or it would be
// loaded from the model store and either has no copy and hardly any requests, or has enough copies. An intent for a load
// from the server's own disk stays as long as the model is configured.
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
