package placement

const (
	// minDemandRate is the least rate, in requests per second, at which a model with its adapters, or an adapter, counts as
	// in demand when cached context is evicted.
	minDemandRate = 0.05
	// minCopiesToEvict is the least number of copies that an item in demand must have before one of them is unloaded to
	// evict its cached context.
	minCopiesToEvict = 2
	// ContextEvictionReason is the Action.Reason of an unload that only evicts cached context: the same model is loaded
	// again afterwards.
	ContextEvictionReason = "context on it is to be let go"
	spareCopyReason       = "a second copy before context on the first is let go"
)

// evictContexts unloads the first of View.ContextEvictions that can be spared. Only one eviction is in progress at a time.
// The whole model is unloaded because replicas drop cached context only with the model (docs/design/retention.md).
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

// mayEvictContext reports whether a model may be unloaded at the server now. Unlike isIdle it does not require that the
// server is serving: context must be evicted from other servers as well.
func (s *serverState) mayEvictContext(model string) bool {
	return s.server.Loaded[model] && s.server.Ready && !s.hasAction && s.server.Intent == ""
}

// ensureSpareCopies reports whether a server's copy of a model can be spared for a while: the model is unconfigured or not
// in demand, or both it and those of its adapters that are loaded there and in demand have another copy. If one of them has
// none, it is loaded elsewhere.
func (p *planner) ensureSpareCopies(state *serverState, model int) bool {
	if !p.items.isConfigured(model) || !isInDemand(p.demand.total(model)) {
		return true
	}
	if p.counts.remaining(model) < minCopiesToEvict {
		if !p.isMaybeLoading(model) {
			p.addCopy(model, spareCopyReason)
		}
		return false
	}
	for _, adapter := range state.adapters {
		if p.items.at(adapter).model != model || !p.items.isConfigured(adapter) {
			continue
		}
		if isInDemand(p.demand.of(adapter)) && p.counts.remaining(adapter) < minCopiesToEvict {
			if p.loadsPending(adapter) == 0 {
				p.addAdapter(adapter, true)
			}
			return false
		}
	}
	return true
}

// isInDemand reports whether requests wait for an item, run on it, or arrive at minDemandRate or more.
func isInDemand(demand *Demand) bool {
	return demand.Waiting > 0 || demand.Running > 0 || demand.Rate >= minDemandRate
}
