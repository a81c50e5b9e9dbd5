package place

import (
	"sort"
	"strings"

	"ferryspar/internal/configuration"
)

// plainPlanner is the reference of planner: the same policy without any index.
type plainPlanner struct {
	view                     plainView
	backend                  *configuration.Backend
	runtime                  *configuration.Runtime
	sizes                    map[string]configuration.Model
	used                     map[string]bool
	actions                  []Action
	tokens                   float64
	slotShare, promisedLoads float64
	unloaded                 map[string]int
	exhausted                map[string]bool
	uncertain                map[string]int
}

func plainPlan(view *View) []Action {
	var actions []Action
	if view.Table == nil {
		return nil
	}
	view.Sizes.observe(NewCatalog(view.Table), view.Servers)
	for index := range view.Table.Configuration.Backends {
		backend := &view.Table.Configuration.Backends[index]
		if backend.Runtime == nil {
			continue
		}
		p := &plainPlanner{
			view:      plainView{view, map[string]Demand{}},
			backend:   backend,
			runtime:   backend.Runtime,
			sizes:     map[string]configuration.Model{},
			used:      map[string]bool{},
			unloaded:  map[string]int{},
			exhausted: map[string]bool{},
			tokens:    view.Tokens,
		}
		for _, model := range backend.Runtime.Models {
			p.sizes[model.Name] = model
		}
		p.countUncertain()
		wanted := p.absentModels()
		if p.slotShare = copyShare; len(wanted) > 0 {
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
		actions = append(actions, p.actions...)
		view.Tokens = p.tokens
	}
	return actions
}

func (p *plainPlanner) record(server *Server, action Action) {
	action.Server = server.ID
	p.used[server.ID] = true
	if action.Load && action.Stored {
		p.tokens--
	}
	p.actions = append(p.actions, action)
	if action.Load {
		return
	}
	for reference := range server.Models {
		if reference == action.Model || strings.HasPrefix(reference, action.Model+"/") {
			p.unloaded[reference]++
		}
	}
}

func (p *plainPlanner) idle() []*Server {
	var found []*Server
	for _, server := range p.view.idle(p.backend.Name) {
		if !p.used[server.ID] {
			found = append(found, server)
		}
	}
	return found
}

func (p *plainPlanner) fits(server *Server, model string) bool {
	return p.listed(model) && p.taken(server)+p.added(server, model) <= p.room()
}

func (p *plainPlanner) loadable(server *Server, model string) bool {
	return server.Held[model] || p.tokens >= 1
}

func (p *plainPlanner) load(server *Server, model, why string) {
	p.view.Loading[Key(p.backend.Name, model)]++
	server.Intent = ""
	p.record(server, Action{Load: true, Model: model, Stored: !server.Held[model], Why: why})
}

func (p *plainPlanner) fulfilIntents() {
	var rooms []*Server
	for _, server := range p.idle() {
		if server.Intent == "" || server.Models[server.Intent] || p.intentObsolete(server) {
			server.Intent = ""
			continue
		}
		rooms = append(rooms, server)
	}
	gains := map[string]float64{}
	for _, server := range rooms {
		gains[server.Intent] = p.urgency(p.sizes[server.Intent], p.view.totalDemand(p.backend.Name, server.Intent))
	}
	sort.SliceStable(rooms, func(left, right int) bool { return gains[rooms[left].Intent] > gains[rooms[right].Intent] })
	for _, server := range rooms {
		if model := server.Intent; p.intentObsolete(server) {
			server.Intent = ""
		} else if !p.fits(server, model) {
			p.evict(server, model)
		} else if p.loadable(server, model) {
			p.load(server, model, "room was made for it")
		}
	}
	for _, server := range p.view.Servers {
		if server.Backend == p.backend.Name && server.counts(p.view.View) && server.Intent != "" && !server.Held[server.Intent] {
			p.promisedLoads++
		}
	}
}

func (p *plainPlanner) intentObsolete(server *Server) bool {
	model := server.Intent
	if !p.listed(model) {
		return true
	}
	if server.Held[model] {
		return false
	}
	demand := p.view.totalDemand(p.backend.Name, model)
	present := len(p.view.copies(p.backend.Name, model)) + p.loading(model)
	return present == 0 && demand.Waiting == 0 && demand.Rate < rareRate || float64(present) >= p.target(model)
}

func (p *plainPlanner) absentModels() []configuration.Model {
	var wanted []configuration.Model
	gains := map[string]float64{}
	for _, model := range p.runtime.Models {
		demand := p.view.totalDemand(p.backend.Name, model.Name)
		copies := len(p.view.copies(p.backend.Name, model.Name))
		loading := p.view.Loading[Key(p.backend.Name, model.Name)]
		if demand.Waiting > 0 && copies == 0 && loading == 0 && !p.intended(model.Name) {
			wanted, gains[model.Name] = append(wanted, model), p.urgency(model, demand)
		}
	}
	gain := func(model configuration.Model) float64 {
		return p.urgency(model, p.view.totalDemand(p.backend.Name, model.Name))
	}
	sort.SliceStable(wanted, func(left, right int) bool { return gain(wanted[left]) > gain(wanted[right]) })
	return wanted
}

func (p *plainPlanner) loadAbsentModels(wanted []configuration.Model) {
	for _, model := range wanted {
		if p.view.Loading[Key(p.backend.Name, model.Name)] > 0 || p.intended(model.Name) {
			continue
		}
		if p.uncertain[model.Name] > 0 {
			p.repeatLoad(model.Name)
		} else {
			p.addCopy(model.Name, "asked for and nowhere loaded")
		}
	}
}

func (p *plainPlanner) urgency(model configuration.Model, demand Demand) float64 {
	if demand.Waiting == 0 {
		return 0
	}
	left := max(demand.Aim-model.LoadTimeS*1000, 0)
	if demand.Aim <= 0 || demand.OldestMs <= left {
		return float64(demand.Waiting) * (1 + urgentShare*demand.OldestMs/max(left, 1))
	}
	others := float64(demand.Waiting - 1)
	prompt := others * left / demand.OldestMs
	return prompt + (others-prompt)*lateShare + lateShare*min(demand.OldestMs/demand.Aim, 4)
}

func (p *plainPlanner) intended(model string) bool {
	for _, server := range p.view.Servers {
		if server.Backend == p.backend.Name && server.Intent == model && server.counts(p.view.View) {
			return true
		}
	}
	return false
}
