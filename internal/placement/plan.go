package placement

// Plan returns the loads and unloads to start now, at most one action per server. It updates the view as documented
// there, so that the next plan can continue from it. Equal views give equal plans.
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
	// targetUtilization is the share of a copy's slots that running requests should occupy. tightUtilization replaces it
	// while requests wait for models that are loaded nowhere: fewer additional copies leave more memory for those.
	targetUtilization = 0.4
	tightUtilization  = 0.45
)

// priority selects the candidates that a planning step handles.
type priority int

const (
	urgent    priority = iota // requests wait for the candidate, or its copies are too few for the running requests
	nonUrgent                 // all other candidates
)

func priorityOf(isUrgent bool) priority {
	if isUrgent {
		return urgent
	}
	return nonUrgent
}

// plan runs the planning steps, the most urgent first. Each step uses the servers and store tokens that the steps
// before it have left.
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
