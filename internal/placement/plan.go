package placement

// Plan returns what to load and unload now, one action at most for each server. It changes the view
// as documented there, so that the next plan continues from it. Equal views give equal plans.
func Plan(view *View) []Action {
	var actions []Action
	if view.Table == nil {
		return nil
	}
	if !view.Catalog.IsFor(view.Table) {
		view.Catalog = NewCatalog(view.Table)
	}
	view.SizeHistory.observe(view.Catalog, view.Servers)
	for _, catalog := range view.Catalog.backends {
		p := newPlanner(view, catalog)
		p.plan()
		actions = append(actions, p.actions...)
		view.StoreTokens = p.tokens
	}
	return actions
}

const (
	// targetUtilization is the share of its slots that a copy is to carry, tightUtilization that while models
	// wait that are loaded nowhere.
	targetUtilization = 0.4
	tightUtilization  = 0.45
)

// plan takes the steps of a plan, the most urgent first: each leaves servers and tokens to the next.
func (p *planner) plan() {
	missing := p.missingModels()
	p.targetUtilization = targetUtilization
	if len(missing) > 0 {
		p.targetUtilization = tightUtilization
	}
	p.fulfilIntents()
	p.addAdapters(true)
	p.addHotCopies(true)
	p.loadMissingModels(missing)
	p.addAdapters(false)
	p.addHotCopies(false)
	p.evictContexts()
	p.restoreFromDisk()
}

// loadable reports whether a model may be loaded now: from the server's disk always, from the store
// within its rate.
func (p *planner) mayLoad(state *serverState, model int) bool {
	return state.server.OnDisk[p.item(model).name] || p.tokens >= 1
}
