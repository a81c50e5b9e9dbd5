package placement

const (
	// minDemandRate is the rate from which a model with its adapters, or an adapter, counts as in demand
	// when cached context is evicted.
	minDemandRate = 0.05
	// spareCopies is how many copies a model in demand must have for one to be unloaded for its context.
	spareCopies = 2
	// ContextEvictionReason is Action.Reason of an unload that only evicts cached context: the same model
	// is loaded again.
	ContextEvictionReason = "context on it is to be let go"
	secondCopyReason      = "a second copy before context on the first is let go"
)

// evictContexts unloads the first of the copies whose context must go that can be spared, one at a time
// over all plans. Replicas drop cached context only with the model (docs/design/retention.md).
func (p *planner) evictContexts() {
	if p.view.ContextEvictionInProgress || len(p.view.ContextEvictions) == 0 {
		return
	}
	positions := make(map[string]int, len(p.servers))
	for position := range p.servers {
		positions[p.servers[position].server.ID] = position
	}
	for _, eviction := range p.view.ContextEvictions {
		position, known := positions[eviction.Server]
		if !known {
			continue
		}
		state := &p.servers[position]
		if !state.mayEvictContext(eviction.Model) || !p.ensureSpareCopies(state, p.itemNumber(eviction.Model)) {
			continue
		}
		p.recordAction(state, Action{
			Model:  eviction.Model,
			Intent: eviction.Model,
			Reason: ContextEvictionReason,
		})
		p.setIntent(state, eviction.Model)
		p.view.ContextEvictionInProgress = true
		return
	}
}

// mayEvictContext reports whether a model may be unloaded at the server now. Unlike isIdle it holds for
// servers that are not serving too: context must go from them as well.
func (s *serverState) mayEvictContext(model string) bool {
	return s.server.Loaded[model] && s.server.Ready && !s.hasAction && s.server.Intent == ""
}

// ensureSpareCopies reports whether a copy of a model can be spared for a while: the model is unconfigured
// or not in demand, or it and its adapters in demand have another copy. It loads the first one missing.
func (p *planner) ensureSpareCopies(state *serverState, model int) bool {
	if !p.items.isConfigured(model) || !isInDemand(p.demand.total(model)) {
		return true
	}
	if p.counts.remaining(model) < spareCopies {
		if !p.isMaybeLoading(model) {
			p.addCopy(model, secondCopyReason)
		}
		return false
	}
	for _, adapter := range state.adapters {
		if p.items.at(adapter).model != model || !p.items.isConfigured(adapter) {
			continue
		}
		if isInDemand(p.demand.of(adapter)) && p.counts.remaining(adapter) < spareCopies {
			if p.loadsPending(adapter) == 0 {
				p.addAdapter(adapter, true)
			}
			return false
		}
	}
	return true
}

// isInDemand reports whether requests wait for or run on an item, or come at minDemandRate.
func isInDemand(demand *Demand) bool {
	return demand.Waiting > 0 || demand.Running > 0 || demand.Rate >= minDemandRate
}
