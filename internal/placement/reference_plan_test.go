package placement

import (
	"math"
	"sort"
	"strings"

	"ferryspar/internal/configuration"
)

// referencePlanner is a reference implementation of planner: the same policy without indexes.
type referencePlanner struct {
	view                              referenceView
	backend                           *configuration.Backend
	runtime                           *configuration.Runtime
	sizes                             map[string]configuration.Model
	hasAction                         map[string]bool
	actions                           []Action
	tokens, spareTokens               float64
	targetUtilization, reservedTokens float64
	plannedUnloads                    map[string]int
	exhausted                         map[string]bool
	uncertain                         map[string]int
}

func referencePlan(view *View) []Action {
	var actions []Action
	if view.Table == nil {
		return nil
	}
	view.SizeHistory.observe(NewCatalog(view.Table), view.Servers)
	for index := range view.Table.Configuration.Backends {
		backend := &view.Table.Configuration.Backends[index]
		if backend.Runtime == nil {
			continue
		}
		p := &referencePlanner{
			view:           referenceView{view, map[string]Demand{}},
			backend:        backend,
			runtime:        backend.Runtime,
			sizes:          map[string]configuration.Model{},
			hasAction:      map[string]bool{},
			plannedUnloads: map[string]int{},
			exhausted:      map[string]bool{},
			tokens:         view.StoreTokens,
			spareTokens:    view.SpareStoreTokens,
		}
		for _, model := range backend.Runtime.Models {
			p.sizes[model.Name] = model
		}
		p.countUncertain()
		missing := p.missingModels()
		if p.targetUtilization = targetUtilization; len(missing) > 0 {
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
		actions = append(actions, p.actions...)
		view.StoreTokens, view.SpareStoreTokens = p.tokens, p.spareTokens
	}
	return actions
}

func (p *referencePlanner) recordAction(server *Server, action Action) {
	action.Server = server.ID
	p.hasAction[server.ID] = true
	if action.Load && action.FromStore {
		p.tokens--
		p.spareTokens--
	}
	p.actions = append(p.actions, action)
	if action.Load {
		return
	}
	for reference := range server.Loaded {
		if reference == action.Model || strings.HasPrefix(reference, action.Model+"/") {
			p.plannedUnloads[reference]++
		}
	}
}

func (p *referencePlanner) idleServers() []*Server {
	var found []*Server
	for _, server := range p.view.idle(p.backend.Name) {
		if !p.hasAction[server.ID] {
			found = append(found, server)
		}
	}
	return found
}

func (p *referencePlanner) fits(server *Server, model string) bool {
	return p.isConfigured(model) && p.memoryUsed(server)+p.addedSize(server, model) <= p.capacity()
}

func (p *referencePlanner) mayLoad(server *Server, model string) bool {
	return server.OnDisk[model] || p.tokens >= 1
}

func (p *referencePlanner) load(server *Server, model, reason string) {
	p.view.Loading[ModelKey(p.backend.Name, model)]++
	server.Intent = ""
	p.recordAction(server, Action{
		Load:          true,
		Model:         model,
		FromStore:     !server.OnDisk[model],
		MaybeFromDisk: !server.OnDisk[model] && server.MaybeOnDisk[model],
		Reason:        reason,
	})
}

func (p *referencePlanner) fulfilIntents() {
	var intending []*Server
	for _, server := range p.idleServers() {
		if server.Intent == "" || server.Loaded[server.Intent] || p.intentObsolete(server) {
			server.Intent = ""
			continue
		}
		intending = append(intending, server)
	}
	sort.SliceStable(intending, func(left, right int) bool {
		return p.isMoreUrgent(p.sizes[intending[left].Intent], p.sizes[intending[right].Intent])
	})
	for _, server := range intending {
		if model := server.Intent; p.intentObsolete(server) {
			server.Intent = ""
		} else if !p.fits(server, model) {
			p.evict(server, model)
		} else if p.mayLoad(server, model) {
			p.load(server, model, "room was made for it")
		}
	}
	for _, server := range p.view.Servers {
		if server.Backend == p.backend.Name && server.isServing(p.view.View) && server.Intent != "" && !server.OnDisk[server.Intent] {
			p.reservedTokens++
		}
	}
}

func (p *referencePlanner) intentObsolete(server *Server) bool {
	model := server.Intent
	if !p.isConfigured(model) {
		return true
	}
	if server.OnDisk[model] {
		return false
	}
	demand := p.view.totalDemand(p.backend.Name, model)
	present := len(p.view.copies(p.backend.Name, model)) + p.loadsPending(model)
	return present == 0 && demand.Waiting == 0 && demand.Rate < rareRate || float64(present) >= p.targetCopies(model)
}

func (p *referencePlanner) missingModels() []configuration.Model {
	var candidates []configuration.Model
	for _, model := range p.runtime.Models {
		demand := p.view.totalDemand(p.backend.Name, model.Name)
		copies := len(p.view.copies(p.backend.Name, model.Name))
		loading := p.view.Loading[ModelKey(p.backend.Name, model.Name)]
		if demand.Waiting > 0 && copies == 0 && loading == 0 && !p.isIntended(model.Name) {
			candidates = append(candidates, model)
		}
	}
	sort.SliceStable(candidates, func(left, right int) bool { return p.isMoreUrgent(candidates[left], candidates[right]) })
	return candidates
}

func (p *referencePlanner) loadMissingModels(candidates []configuration.Model) {
	for _, model := range candidates {
		if p.view.Loading[ModelKey(p.backend.Name, model.Name)] > 0 || p.isIntended(model.Name) {
			continue
		}
		if p.uncertain[model.Name] > 0 {
			p.retryUncertainLoad(model.Name)
		} else {
			p.addCopy(model.Name, "asked for and nowhere loaded")
		}
	}
}

// isMoreUrgent reports whether a model is loaded before another: its load must begin earlier or, if both must at the same time, more
// requests wait for it.
func (p *referencePlanner) isMoreUrgent(left, right configuration.Model) bool {
	slack := func(model configuration.Model) float64 {
		if due := p.view.totalDemand(p.backend.Name, model.Name).LoadDueMs; due > 0 {
			return due - model.LoadTimeS*1000
		}
		return math.Inf(1)
	}
	if slack(left) != slack(right) {
		return slack(left) < slack(right)
	}
	return p.view.totalDemand(p.backend.Name, left.Name).Waiting > p.view.totalDemand(p.backend.Name, right.Name).Waiting
}

func (p *referencePlanner) isIntended(model string) bool {
	for _, server := range p.view.Servers {
		if server.Backend == p.backend.Name && server.Intent == model && server.isServing(p.view.View) {
			return true
		}
	}
	return false
}
