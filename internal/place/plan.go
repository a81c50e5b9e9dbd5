package place

// Plan returns what to load and unload now, one action at most for each server. It changes the view
// as documented there, so that the next plan continues from it. Equal views give equal plans.
func Plan(view *View) []Action {
	var actions []Action
	if view.Table == nil {
		return nil
	}
	if !view.Catalog.Of(view.Table) {
		view.Catalog = NewCatalog(view.Table)
	}
	view.Sizes.observe(view.Catalog, view.Servers)
	for _, catalog := range view.Catalog.backends {
		p := newPlanner(view, catalog)
		p.plan()
		actions = append(actions, p.actions...)
		view.Tokens = p.tokens
	}
	return actions
}

const (
	// copyShare is the share of its slots that a copy is to carry, tightShare that while models
	// wait that are loaded nowhere.
	copyShare  = 0.4
	tightShare = 0.45
)

// plan takes the steps of a plan, the most urgent first: each leaves servers and tokens to the next.
func (p *planner) plan() {
	wanted := p.absentModels()
	p.slotShare = copyShare
	if len(wanted) > 0 {
		p.slotShare = tightShare
	}
	p.fulfilIntents()
	p.addAdapters(true)
	p.addHotCopies(true)
	p.loadAbsentModels(wanted)
	p.addAdapters(false)
	p.addHotCopies(false)
	p.evictContexts()
	p.restoreStored()
}

// loadable reports whether a model may be loaded now: from the server's disk always, from the store
// within its rate.
func (p *planner) loadable(state *serverState, model int) bool {
	return state.server.Held[p.item(model).name] || p.tokens >= 1
}
