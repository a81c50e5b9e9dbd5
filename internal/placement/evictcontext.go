package placement

const (
	// adapterDemand is the rate from which an adapter, or a model with its adapters, counts as in
	// demand when context is evicted.
	adapterDemand = 0.05
	// ContextEvictionReason is Action.Reason of an unload that only evicts cached context: the same
	// model is loaded again.
	ContextEvictionReason = "context on it is to be let go"
	secondCopyReason      = "a second copy before context on the first is let go"
)

// evictContexts unloads the first of the copies whose context must go that can be spared, one at a
// time over all plans. Replicas drop context only with the model (docs/design/retention.md).
func (p *planner) evictContexts() {
	if p.view.ContextEvictionInProgress {
		return
	}
	if len(p.view.ContextEvictions) > 0 {
		p.serverByID = make(map[string]int, len(p.servers))
		for position := range p.servers {
			p.serverByID[p.servers[position].server.ID] = position
		}
	}
	for _, listed := range p.view.ContextEvictions {
		position, known := p.serverByID[listed.Server]
		if !known {
			continue
		}
		state := &p.servers[position]
		if !state.mayEvictContext(listed.Model) || !p.ensureSpareCopies(state, p.itemNumber(listed.Model)) {
			continue
		}
		p.recordAction(state, Action{Model: listed.Model, Intent: listed.Model, Reason: ContextEvictionReason})
		p.setIntent(state, listed.Model)
		p.view.ContextEvictionInProgress = true
		return
	}
}

func (s *serverState) mayEvictContext(model string) bool {
	return s.server.Loaded[model] && s.server.Ready && !s.hasAction && s.server.Intent == ""
}

// ensureSpareCopies reports whether a copy of a model can be spared for a while: the model is not in
// demand or in the configuration, or it and its demanded adapters have another copy. Where one is missing it is loaded.
func (p *planner) ensureSpareCopies(state *serverState, model int) bool {
	demand := p.totalDemand(model)
	if !p.isConfigured(model) {
		return true
	}
	if demand.Waiting == 0 && demand.Running == 0 && demand.Rate < adapterDemand {
		return true
	}
	if p.copiesRemaining(model) < 2 {
		if !p.isMaybeLoading(model) {
			p.addCopy(model, secondCopyReason)
		}
		return false
	}
	for _, adapter := range state.adapters {
		if p.item(adapter).model != model || !p.isConfigured(adapter) {
			continue
		}
		own := p.ownDemand(adapter)
		inDemand := own.Waiting > 0 || own.Running > 0 || own.Rate >= adapterDemand
		if inDemand && p.copiesRemaining(adapter) < 2 {
			if p.loadsPending(adapter) == 0 {
				p.addAdapter(adapter, true)
			}
			return false
		}
	}
	return true
}
