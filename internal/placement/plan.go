package placement

// Plan returns what to load and unload now, at most one action for each server. It changes the view as
// documented there, so that the next plan continues from it. Equal views give equal plans.
func Plan(view *View) []Action {
	if view.Table == nil {
		return nil
	}
	if !view.Catalog.IsFor(view.Table) {
		view.Catalog = NewCatalog(view.Table)
	}
	view.SizeHistory.observe(view.Catalog, view.Servers)
	var actions []Action
	for _, catalog := range view.Catalog.backends {
		p := newPlanner(view, catalog)
		p.plan()
		actions = append(actions, p.decisions.actions...)
		view.StoreTokens = p.decisions.storeTokens
		view.SpareStoreTokens = p.decisions.spareStoreTokens
	}
	return actions
}

const (
	// targetUtilization is the share of its slots that a copy is meant to carry; tightUtilization is
	// that share while models are waited for that are loaded nowhere.
	targetUtilization = 0.4
	tightUtilization  = 0.45
)

// priority selects the candidates that a step handles.
type priority int

const (
	urgent    priority = iota // requests wait for the candidate, or it lacks copies for what runs
	nonUrgent                 // all others
)

// priorityOf returns the priority of a candidate.
func priorityOf(isUrgent bool) priority {
	if isUrgent {
		return urgent
	}
	return nonUrgent
}

// plan takes the steps of a plan, the most urgent first: each leaves servers and store tokens to the
// next.
func (p *planner) plan() {
	missing := p.missingModels()
	p.targetUtilization = targetUtilization
	if len(missing) > 0 {
		p.targetUtilization = tightUtilization
	}
	p.fulfilIntents()
	p.addAdapters(urgent)
	p.addHotCopies(urgent)
	p.loadMissingModels(missing)
	p.addAdapters(nonUrgent)
	p.addHotCopies(nonUrgent)
	p.evictContexts()
	p.restoreFromDisk()
}
