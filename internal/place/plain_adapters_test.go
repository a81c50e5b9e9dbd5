package place

import (
	"math"
	"strings"
)

func (p *plainPlanner) addAdapter(reference string, urgent bool) {
	model, _ := split(reference)
	var best *Server
	for _, server := range p.idle() {
		if !server.Models[model] || server.Models[reference] || !p.hasAdapterRoom(server, model) {
			continue
		}
		if best == nil || server.adapters() < best.adapters() {
			best = server
		}
	}
	if best != nil {
		p.view.Loading[Key(p.backend.Name, reference)]++
		p.record(best, Action{Load: true, Model: reference, Why: "adapter wanted"})
		return
	}
	if urgent && !p.unloadAdapter(model, p.view.ownDemand(p.backend.Name, reference).Waiting > 0) {
		p.unloadForAdapter(reference)
	}
}

func (p *plainPlanner) hasAdapterRoom(server *Server, model string) bool {
	return p.places(server) < p.runtime.AdapterCapacity && p.taken(server)+plainUp(p.sizes[model].AdapterSizeMb) <= p.room()
}

func (p *plainPlanner) unloadAdapter(model string, waited bool) bool {
	bearable := 0.0
	if waited {
		bearable = rareRate
	}
	var best *Server
	victim, lowest := "", 0.0
	for _, server := range p.idle() {
		rest := p.taken(server) + plainUp(p.sizes[model].AdapterSizeMb) - p.room()
		for reference := range server.Models {
			if strings.Contains(reference, "/") {
				rest -= p.heldSize(server, reference)
			}
		}
		surplus := p.places(server) - server.adapters()
		if !server.Models[model] || p.hasAdapterRoom(server, model) || rest > 0 || surplus >= p.runtime.AdapterCapacity {
			continue
		}
		for reference := range server.Models {
			if !strings.Contains(reference, "/") {
				continue
			}
			demand := p.view.ownDemand(p.backend.Name, reference)
			copies := p.remaining(reference)
			loss := demand.Rate/float64(copies) - float64(copies)
			if !p.listed(reference) {
				loss = math.Inf(-1)
			} else if copies <= 1 && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > bearable) {
				continue
			}
			if best == nil || loss < lowest || loss == lowest && reference < victim {
				best, victim, lowest = server, reference, loss
			}
		}
	}
	if best != nil {
		p.record(best, Action{Model: victim, Why: "adapter makes way for one asked for"})
	}
	return best != nil
}

func (p *plainPlanner) unloadForAdapter(adapter string) {
	model, _ := split(adapter)
	if p.intended(model) {
		return
	}
	var best *Server
	victim, lowest := "", 0.0
	for _, server := range p.idle() {
		if !server.Models[model] || server.Intent != "" || p.places(server) >= p.runtime.AdapterCapacity {
			continue
		}
		need, first, cost := p.taken(server)+p.added(server, adapter)-p.room(), "", 0.0
		for _, next := range p.victims(server, model) {
			if need > 0 && p.expendable(server, next, p.remaining) {
				if first == "" {
					first = next
				}
				need -= p.freed(server, next)
				cost += p.loss(server, next)
			}
		}
		if need <= 0 && first != "" && (best == nil || cost < lowest) {
			best, victim, lowest = server, first, cost
		}
	}
	if best != nil {
		p.record(best, Action{Model: victim, Intent: model, Why: "makes way for " + adapter})
		best.Intent = model
	}
}
