package place

import (
	"ferryspar/internal/layout"
	"sort"
)

type plainPlanner struct {
	view    plainView
	backend *layout.Backend
	runtime *layout.Runtime
	sizes   map[string]layout.Model
	used    map[string]bool
	actions []Action
	tokens  float64
}

func plainPlan(view *View) []Action {
	var actions []Action
	if view.Table == nil {
		return nil
	}
	for index := range view.Table.Layout.Backends {
		backend := &view.Table.Layout.Backends[index]
		if backend.Runtime == nil {
			continue
		}
		p := &plainPlanner{view: plainView{view}, backend: backend, runtime: backend.Runtime, sizes: map[string]layout.Model{}, used: map[string]bool{}, tokens: view.Tokens}
		for _, model := range backend.Runtime.Models {
			p.sizes[model.Name] = model
		}
		p.intents()
		p.adapters()
		p.spread()
		p.missing()
		p.cleanse()
		p.restoreAll()
		actions = append(actions, p.actions...)
		view.Tokens = p.tokens
	}
	return actions
}

func (p *plainPlanner) act(server *Server, action Action) {
	action.Server = server.ID
	p.used[server.ID] = true
	if action.Load && action.Stored {
		p.tokens--
	}
	p.actions = append(p.actions, action)
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
	return server.size(p.runtime)+p.sizes[model].WeightSizeMb <= p.runtime.WeightSizeMb+roomSlack
}

func (p *plainPlanner) loadable(server *Server, model string) bool {
	return server.Held[model] || p.tokens >= 1
}

func (p *plainPlanner) load(server *Server, model, why string) {
	p.view.Loading[key(p.backend.Name, model)]++
	server.Intent = ""
	p.act(server, Action{Load: true, Model: model, Stored: !server.Held[model], Why: why})
}

func (p *plainPlanner) intents() {
	for _, server := range p.idle() {
		model := server.Intent
		if model == "" || server.Models[model] {
			server.Intent = ""
			continue
		}
		if p.fits(server, model) {
			if p.loadable(server, model) {
				p.load(server, model, "room was made for it")
			}
			continue
		}
		p.evict(server, model)
	}
}

func (p *plainPlanner) missing() {
	type want struct {
		model string
		gain  float64
	}
	var wanted []want
	for _, model := range p.runtime.Models {
		demand := p.view.modelPressure(p.backend.Name, model.Name)
		if demand.Waiting > 0 && len(p.view.copies(p.backend.Name, model.Name)) == 0 && p.view.Loading[key(p.backend.Name, model.Name)] == 0 && !p.intended(model.Name) {
			wanted = append(wanted, want{model.Name, p.gain(model, demand)})
		}
	}
	sort.SliceStable(wanted, func(left, right int) bool { return wanted[left].gain > wanted[right].gain })
	for _, one := range wanted {
		p.bring(one.model, "asked for and nowhere loaded")
	}
}

func (p *plainPlanner) gain(model layout.Model, demand Pressure) float64 {
	gain := float64(demand.Waiting)
	if demand.Aim > 0 && demand.OldestMs+model.LoadTimeS*1000 > demand.Aim {
		gain = gain*lateShare + demand.OldestMs/demand.Aim*lateShare
	}
	return gain
}

func (p *plainPlanner) intended(model string) bool {
	for _, server := range p.view.Servers {
		if server.Backend == p.backend.Name && server.Intent == model && !server.Draining {
			return true
		}
	}
	return false
}

func (p *plainPlanner) bring(model, why string) bool {
	var best *Server
	bestCost := 0.0
	for _, server := range p.idle() {
		if server.Models[model] || server.Intent != "" || !p.loadable(server, model) || p.reserved(server, model) {
			continue
		}
		cost, possible := p.cost(server, model)
		if possible && (best == nil || cost < bestCost) {
			best, bestCost = server, cost
		}
	}
	if best == nil {
		return false
	}
	if p.fits(best, model) {
		p.load(best, model, why)
		return true
	}
	best.Intent = model
	p.evict(best, model)
	return true
}

func (p *plainPlanner) reserved(server *Server, wanted string) bool {
	for _, model := range p.runtime.Models {
		if model.Adapters == 0 || model.Name == wanted || !server.Models[model.Name] {
			continue
		}
		copies := p.view.copies(p.backend.Name, model.Name)
		free := 0
		for _, holder := range copies {
			if holder.Ready && !p.used[holder.ID] && holder.Intent == "" {
				free++
			}
		}
		if p.view.modelPressure(p.backend.Name, model.Name).Rate > hotRate && 2*free <= len(copies) {
			return true
		}
	}
	return false
}

func (p *plainPlanner) cost(server *Server, model string) (float64, bool) {
	cost := readingCost * p.reading(server)
	if !server.Held[model] {
		cost += p.sizes[model].LoadTimeS
	} else {
		cost += p.sizes[model].LoadTimeS * 0.25
	}
	need := server.size(p.runtime) + p.sizes[model].WeightSizeMb - p.runtime.WeightSizeMb
	for _, victim := range p.victims(server, model) {
		if need <= roomSlack {
			break
		}
		need -= p.freed(server, victim)
		cost += p.loss(server, victim)
	}
	return cost, need <= roomSlack
}
