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
	bearable, waited := 0.0, p.view.ownDemand(p.backend.Name, reference).Waiting > 0
	if waited {
		bearable = rareRate
	}
	if !urgent || p.unloadAdapter(model, bearable) || p.unloadForAdapter(reference, bearable) || !waited {
		return
	}
	if p.loading(model) > 0 || p.intended(model) {
		return
	}
	for _, server := range p.view.copies(p.backend.Name, model) {
		need, places := p.withoutAdapters(server, model, bearable)
		_, _, possible := p.adapterRoomCost(server, reference)
		placed := places < p.runtime.AdapterCapacity
		if p.taken(server)+p.added(server, reference) <= p.room() || placed && (need <= 0 || possible) {
			return
		}
	}
	p.addCopy(model, "an adapter has no room where its model is loaded")
}

func (p *plainPlanner) hasAdapterRoom(server *Server, model string) bool {
	return p.places(server) < p.runtime.AdapterCapacity && p.taken(server)+plainUp(p.sizes[model].AdapterSizeMb) <= p.room()
}

// withoutAdapters is what room an adapter of the model needs beyond that of a server, and how many places are
// taken there, once all adapters that may go are gone.
func (p *plainPlanner) withoutAdapters(server *Server, model string, bearable float64) (need int64, places int) {
	need, places = p.taken(server)+plainUp(p.sizes[model].AdapterSizeMb)-p.room(), p.places(server)
	for reference := range server.Models {
		if strings.Contains(reference, "/") && p.expendableAdapter(reference, bearable) {
			need -= p.heldSize(server, reference)
			places--
		}
	}
	return need, places
}

func (p *plainPlanner) unloadAdapter(model string, bearable float64) bool {
	var best *Server
	victim, lowest := "", 0.0
	for _, server := range p.idle() {
		need, places := p.withoutAdapters(server, model, bearable)
		if !server.Models[model] || p.hasAdapterRoom(server, model) || need > 0 || places >= p.runtime.AdapterCapacity {
			continue
		}
		for reference := range server.Models {
			if !strings.Contains(reference, "/") || !p.expendableAdapter(reference, bearable) {
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

func (p *plainPlanner) unloadForAdapter(adapter string, bearable float64) bool {
	model, _ := split(adapter)
	if p.intended(model) {
		return true
	}
	var best *Server
	victim, lowest := "", 0.0
	for _, server := range p.idle() {
		_, places := p.withoutAdapters(server, model, bearable)
		if !server.Models[model] || server.Intent != "" || places >= p.runtime.AdapterCapacity {
			continue
		}
		if first, cost, possible := p.adapterRoomCost(server, adapter); possible && (best == nil || cost < lowest) {
			best, victim, lowest = server, first, cost
		}
	}
	if best != nil {
		p.record(best, Action{Model: victim, Intent: model, Why: "makes way for " + adapter})
		best.Intent = model
	}
	return best != nil
}

func (p *plainPlanner) adapterRoomCost(server *Server, adapter string) (first string, cost float64, possible bool) {
	model, _ := split(adapter)
	need := p.taken(server) + p.added(server, adapter) - p.room()
	for _, next := range p.victims(server, model) {
		if need > 0 && p.expendable(server, next, p.remaining) {
			if first == "" {
				first = next
			}
			need -= p.freed(server, next)
			cost += p.loss(server, next)
		}
	}
	return first, cost, need <= 0 && first != ""
}
