package placement

import (
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
)

func (p *referencePlanner) disruption(server *Server) float64 {
	total := 0.0
	for _, reference := range slices.Sorted(maps.Keys(server.Loaded)) {
		if model, adapter := SplitReference(reference); adapter == "" {
			demand, copies := p.view.totalDemand(p.backend.Name, model), float64(max(p.copiesLoaded(model), 1))
			total += demand.PrefillLoad / copies
			if p.sizes[model].Adapters > 0 {
				total += adapterDisruption * min(demand.Rate, 1) / copies
			}
		}
	}
	return total
}

func (p *referencePlanner) freedMemory(server *Server, model string) int64 {
	total := int64(0)
	for reference := range server.Loaded {
		if base, _ := SplitReference(reference); base == model {
			total += p.loadedSize(server, reference)
		}
	}
	return total
}

func (p *referencePlanner) unloadCost(model string) float64 {
	if !p.isConfigured(model) {
		return -1
	}
	demand := p.view.totalDemand(p.backend.Name, model)
	others := len(p.view.copies(p.backend.Name, model)) - 1
	cost := 0.0
	if !demand.LastRequestAt.IsZero() && p.view.Now.Sub(demand.LastRequestAt) < recentDemandWindow {
		cost += 1 - p.view.Now.Sub(demand.LastRequestAt).Seconds()/recentDemandWindow.Seconds()
	}
	cost += (demand.Rate*4 + demand.LongTermRate*longTermRateWeight) / float64(1+others*others*4)
	if p.sizes[model].Adapters > 0 {
		cost += 3
	}
	return cost
}

func (p *referencePlanner) victims(server *Server, modelToLoad string) []string {
	var found []string
	for reference := range server.Loaded {
		model, adapter := SplitReference(reference)
		if adapter != "" || model == modelToLoad || !p.canEvict(server, model, p.copiesLoaded) {
			continue
		}
		found = append(found, model)
	}
	sort.Slice(found, func(left, right int) bool {
		first, second := p.unloadCost(found[left]), p.unloadCost(found[right])
		if first != second {
			return first < second
		}
		return found[left] < found[right]
	})
	return found
}

func (p *referencePlanner) canEvict(server *Server, model string, count func(reference string) int) bool {
	if !p.isConfigured(model) {
		return true
	}
	demand := p.view.totalDemand(p.backend.Name, model)
	copies := count(model)
	if copies <= 1 && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > hotRate) {
		return false
	}
	if !p.view.DemandKnown && copies >= 2 {
		return false
	}
	if demand.Rate > hotRate && p.hasLastAdapterCopy(server, model, count) {
		return false
	}
	remaining := float64(copies - 1)
	if remaining >= max(p.targetCopies(model), math.Ceil(demand.PrefillLoad/maxPrefillLoad)) {
		return true
	}
	return demand.Rate < rareRate && remaining >= p.copiesNeeded(demand)
}

func (p *referencePlanner) hasLastAdapterCopy(server *Server, model string, count func(reference string) int) bool {
	for reference := range server.Loaded {
		base, adapter := SplitReference(reference)
		if base == model && adapter != "" && p.isConfigured(reference) && count(reference) <= 1 {
			return true
		}
	}
	return false
}

func (p *referencePlanner) copiesNeeded(demand Demand) float64 {
	if demand.Running == 0 {
		return 0
	}
	return 1 + math.Floor(demand.Running/(p.targetUtilization*float64(max(p.runtime.Slots, 1))))
}

func (p *referencePlanner) targetCopies(model string) float64 {
	demand := p.view.totalDemand(p.backend.Name, model)
	target := max(1, p.copiesNeeded(demand))
	if demand.Rate > hotRate {
		target = max(target, 2)
		if adapters := p.sizes[model].Adapters; adapters > 0 && p.runtime.AdapterCapacity > 0 {
			target = max(target, 1+math.Ceil(float64(adapters)/float64(p.runtime.AdapterCapacity)))
		}
	}
	return min(target, float64(max(len(p.view.serving(p.backend.Name))-1, 1)))
}

func (p *referencePlanner) evict(server *Server, model string) bool {
	need := p.memoryUsed(server) + p.addedSize(server, model) - p.capacity()
	var remaining []string
	for _, victim := range p.victims(server, model) {
		if p.canEvict(server, victim, p.copiesRemaining) {
			remaining = append(remaining, victim)
		}
	}
	chosen, possible := p.chosenVictims(server, remaining, need)
	if !possible || len(chosen) == 0 {
		server.Intent = ""
		return false
	}
	p.recordAction(server, Action{Model: chosen[0], Intent: model, Reason: "makes way for " + model})
	return true
}

func (p *referencePlanner) copiesLoaded(reference string) int {
	return len(p.view.copies(p.backend.Name, reference))
}

func (p *referencePlanner) copiesRemaining(reference string) int {
	return p.copiesLoaded(reference) - p.plannedUnloads[reference]
}

func (p *referencePlanner) evictContexts() {
	if p.view.ContextEvictionInProgress {
		return
	}
	for _, eviction := range p.view.ContextEvictions {
		server := p.find(eviction.Server)
		if server == nil || !server.Loaded[eviction.Model] || !server.Ready || p.hasAction[server.ID] || server.Intent != "" {
			continue
		}
		if !p.ensureSpareCopies(server, eviction.Model) {
			continue
		}
		p.recordAction(server, Action{Model: eviction.Model, Intent: eviction.Model, Reason: ContextEvictionReason})
		server.Intent = eviction.Model
		p.view.ContextEvictionInProgress = true
		return
	}
}

func (p *referencePlanner) find(id string) *Server {
	for _, server := range p.view.Servers {
		if server.ID == id && server.Backend == p.backend.Name {
			return server
		}
	}
	return nil
}

func (p *referencePlanner) ensureSpareCopies(server *Server, model string) bool {
	demand := p.view.totalDemand(p.backend.Name, model)
	if !p.isConfigured(model) || demand.Waiting == 0 && demand.Running == 0 && demand.Rate < minDemandRate {
		return true
	}
	if p.copiesRemaining(model) < 2 {
		if p.loadsPending(model) == 0 && !p.isIntended(model) {
			p.addCopy(model, "a second copy before context on the first is let go")
		}
		return false
	}
	for reference := range server.Loaded {
		if !strings.HasPrefix(reference, model+"/") || !p.isConfigured(reference) {
			continue
		}
		requested := p.view.ownDemand(p.backend.Name, reference)
		inDemand := requested.Waiting > 0 || requested.Running > 0 || requested.Rate >= minDemandRate
		if inDemand && p.copiesRemaining(reference) < 2 {
			if p.loadsPending(reference) == 0 {
				p.addAdapter(reference, true)
			}
			return false
		}
	}
	return true
}
