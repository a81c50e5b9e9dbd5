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
			if !p.expendableAdapter(reference, bearable) {
				continue
			}
			copies := float64(p.remaining(reference))
			loss := p.view.ownDemand(p.backend.Name, reference).Rate/copies - copies
			if !p.listed(reference) {
				loss = math.Inf(-1)
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

func (p *plainPlanner) expendableAdapter(reference string, bearable float64) bool {
	demand := p.view.ownDemand(p.backend.Name, reference)
	wanted := demand.Waiting > 0 || demand.Running > 0 || demand.Rate > bearable
	return !p.listed(reference) || p.remaining(reference) > 1 || !wanted
}

func (p *plainPlanner) unloadForAdapter(adapter string) {
	model, _ := split(adapter)
	if p.intended(model) {
		return
	}
	var best *Server
	victim, lowest := "", 0.0
	for _, server := range p.idle() {
		places := p.places(server)
		for reference := range server.Models {
			if strings.Contains(reference, "/") && p.expendableAdapter(reference, 0) {
				places--
			}
		}
		if !server.Models[model] || server.Intent != "" || places >= p.runtime.AdapterCapacity {
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
