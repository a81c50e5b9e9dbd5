package place

import (
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
)

func (p *plainPlanner) reading(server *Server) float64 {
	total := 0.0
	for _, reference := range slices.Sorted(maps.Keys(server.Models)) {
		if model, adapter := split(reference); adapter == "" {
			demand, copies := p.view.totalDemand(p.backend.Name, model), float64(max(p.copyCount(model), 1))
			total += demand.Reading / copies
			if p.sizes[model].Adapters > 0 {
				total += adapterCost * min(demand.Rate, 1) / copies
			}
		}
	}
	return total
}

func (p *plainPlanner) freed(server *Server, model string) int64 {
	total := int64(0)
	for reference := range server.Models {
		if base, _ := split(reference); base == model {
			total += p.heldSize(server, reference)
		}
	}
	return total
}

func (p *plainPlanner) loss(server *Server, model string) float64 {
	if !p.listed(model) {
		return -1
	}
	demand := p.view.totalDemand(p.backend.Name, model)
	others := len(p.view.copies(p.backend.Name, model)) - 1
	loss := 0.0
	if !demand.LastSeen.IsZero() && p.view.Now.Sub(demand.LastSeen) < recentDemand {
		loss += 1 - p.view.Now.Sub(demand.LastSeen).Seconds()/recentDemand.Seconds()
	}
	loss += (demand.Rate*4 + demand.Often*oftenWeight) / float64(1+others*others*4)
	if p.sizes[model].Adapters > 0 {
		loss += 3
	}
	return loss
}

func (p *plainPlanner) victims(server *Server, wanted string) []string {
	var found []string
	for reference := range server.Models {
		model, adapter := split(reference)
		if adapter != "" || model == wanted || !p.expendable(server, model, p.copyCount) {
			continue
		}
		found = append(found, model)
	}
	sort.Slice(found, func(left, right int) bool {
		first, second := p.loss(server, found[left]), p.loss(server, found[right])
		if first != second {
			return first < second
		}
		return found[left] < found[right]
	})
	return found
}

func (p *plainPlanner) expendable(server *Server, model string, count func(reference string) int) bool {
	if !p.listed(model) {
		return true
	}
	demand := p.view.totalDemand(p.backend.Name, model)
	copies := count(model)
	if copies <= 1 && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > hotRate) {
		return false
	}
	if !p.view.Learned && copies >= 2 {
		return false
	}
	if demand.Rate > hotRate && p.lastAdapter(server, model, count) {
		return false
	}
	rest := float64(copies - 1)
	return rest >= max(p.target(model), math.Ceil(demand.Reading/readShare)) || demand.Rate < rareRate && rest >= p.needed(demand)
}

func (p *plainPlanner) lastAdapter(server *Server, model string, count func(reference string) int) bool {
	for reference := range server.Models {
		base, adapter := split(reference)
		if base == model && adapter != "" && p.listed(reference) && count(reference) <= 1 {
			return true
		}
	}
	return false
}

func (p *plainPlanner) needed(demand Demand) float64 {
	if demand.Running == 0 {
		return 0
	}
	return 1 + math.Floor(demand.Running/(p.slotShare*float64(max(p.runtime.Slots, 1))))
}

func (p *plainPlanner) target(model string) float64 {
	demand := p.view.totalDemand(p.backend.Name, model)
	target := max(1, p.needed(demand))
	if demand.Rate > hotRate {
		target = max(target, 2)
		if adapters := p.sizes[model].Adapters; adapters > 0 && p.runtime.AdapterCapacity > 0 {
			target = max(target, 1+math.Ceil(float64(adapters)/float64(p.runtime.AdapterCapacity)))
		}
	}
	return min(target, float64(max(len(p.view.serving(p.backend.Name))-1, 1)))
}

func (p *plainPlanner) evict(server *Server, model string) bool {
	need := p.taken(server) + p.added(server, model) - p.room()
	first := ""
	for _, victim := range p.victims(server, model) {
		if p.expendable(server, victim, p.remaining) {
			need -= p.freed(server, victim)
			if first == "" {
				first = victim
			}
		}
	}
	if first == "" || need > 0 {
		server.Intent = ""
		return false
	}
	p.record(server, Action{Model: first, Intent: model, Why: "makes way for " + model})
	return true
}

func (p *plainPlanner) copyCount(reference string) int {
	return len(p.view.copies(p.backend.Name, reference))
}

func (p *plainPlanner) remaining(reference string) int {
	return p.copyCount(reference) - p.unloaded[reference]
}

func (p *plainPlanner) evictContexts() {
	if p.view.EvictingContext {
		return
	}
	for _, pair := range p.view.EvictContexts {
		server := p.find(pair.Server)
		if server == nil || !server.Models[pair.Model] || !server.Ready || p.used[server.ID] || server.Intent != "" {
			continue
		}
		if !p.copiesSuffice(server, pair.Model) {
			continue
		}
		p.record(server, Action{Model: pair.Model, Intent: pair.Model, Why: ContextEvictionReason})
		server.Intent = pair.Model
		p.view.EvictingContext = true
		return
	}
}

func (p *plainPlanner) find(id string) *Server {
	for _, server := range p.view.Servers {
		if server.ID == id && server.Backend == p.backend.Name {
			return server
		}
	}
	return nil
}

func (p *plainPlanner) copiesSuffice(server *Server, model string) bool {
	demand := p.view.totalDemand(p.backend.Name, model)
	if !p.listed(model) || demand.Waiting == 0 && demand.Running == 0 && demand.Rate < adapterDemand {
		return true
	}
	if p.remaining(model) < 2 {
		if p.loading(model) == 0 && !p.intended(model) {
			p.addCopy(model, "a second copy before context on the first is let go")
		}
		return false
	}
	for reference := range server.Models {
		if !strings.HasPrefix(reference, model+"/") || !p.listed(reference) {
			continue
		}
		asked := p.view.ownDemand(p.backend.Name, reference)
		wanted := asked.Waiting > 0 || asked.Running > 0 || asked.Rate >= adapterDemand
		if wanted && p.remaining(reference) < 2 {
			if p.loading(reference) == 0 {
				p.addAdapter(reference, true)
			}
			return false
		}
	}
	return true
}
