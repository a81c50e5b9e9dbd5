package placement

import (
	"math"
	"strings"
)

func (p *referencePlanner) addAdapter(reference string, urgent bool) {
	model, _ := SplitReference(reference)
	var best *Server
	for _, server := range p.idleServers() {
		if !server.Loaded[model] || server.Loaded[reference] || !p.fitsAnotherAdapter(server, model) {
			continue
		}
		if best == nil || server.adapterCount() < best.adapterCount() {
			best = server
		}
	}
	if best != nil {
		p.view.Loading[ModelKey(p.backend.Name, reference)]++
		p.recordAction(best, Action{Load: true, Model: reference, Reason: "adapter wanted"})
		return
	}
	toleratedRate, hasWaiting := 0.0, p.view.ownDemand(p.backend.Name, reference).Waiting > 0
	if hasWaiting {
		toleratedRate = rareRate
	}
	if !urgent || p.swapAdapter(model, toleratedRate) || p.evictForAdapter(reference, toleratedRate) || !hasWaiting {
		return
	}
	if p.loadsPending(model) > 0 || p.isIntended(model) {
		return
	}
	for _, server := range p.view.copies(p.backend.Name, model) {
		need, adapterSlots := p.usageAfterAdapterUnloads(server, model, toleratedRate)
		_, _, possible := p.adapterEvictionCost(server, reference)
		hasSlot := adapterSlots < p.runtime.AdapterCapacity
		if p.memoryUsed(server)+p.addedSize(server, reference) <= p.capacity() || hasSlot && (need <= 0 || possible) {
			return
		}
	}
	p.addCopy(model, "an adapter has no room where its model is loaded")
}

func (p *referencePlanner) fitsAnotherAdapter(server *Server, model string) bool {
	size := roundUpUnits(p.sizes[model].AdapterSizeMb)
	return p.adapterSlotsUsed(server) < p.runtime.AdapterCapacity && p.memoryUsed(server)+size <= p.capacity()
}

// usageAfterAdapterUnloads returns how much memory an adapter of the model lacks at a server, and the adapter slots in use
// there, after unloading all adapters that may be unloaded.
func (p *referencePlanner) usageAfterAdapterUnloads(server *Server, model string, toleratedRate float64) (need int64, adapterSlots int) {
	need, adapterSlots = p.memoryUsed(server)+roundUpUnits(p.sizes[model].AdapterSizeMb)-p.capacity(), p.adapterSlotsUsed(server)
	for reference := range server.Loaded {
		if strings.Contains(reference, "/") && p.canUnloadAdapter(reference, toleratedRate) {
			need -= p.loadedSize(server, reference)
			adapterSlots--
		}
	}
	return need, adapterSlots
}

func (p *referencePlanner) swapAdapter(model string, toleratedRate float64) bool {
	var best *Server
	victim, lowest := "", 0.0
	for _, server := range p.idleServers() {
		need, adapterSlots := p.usageAfterAdapterUnloads(server, model, toleratedRate)
		if !server.Loaded[model] || p.fitsAnotherAdapter(server, model) || need > 0 || adapterSlots >= p.runtime.AdapterCapacity {
			continue
		}
		for reference := range server.Loaded {
			if !strings.Contains(reference, "/") || !p.canUnloadAdapter(reference, toleratedRate) {
				continue
			}
			copies := float64(p.copiesRemaining(reference))
			cost := p.view.ownDemand(p.backend.Name, reference).Rate/copies - copies
			if !p.isConfigured(reference) {
				cost = math.Inf(-1)
			}
			if best == nil || cost < lowest || cost == lowest && reference < victim {
				best, victim, lowest = server, reference, cost
			}
		}
	}
	if best != nil {
		p.recordAction(best, Action{Model: victim, Reason: "adapter makes way for one asked for"})
	}
	return best != nil
}

func (p *referencePlanner) canUnloadAdapter(reference string, toleratedRate float64) bool {
	demand := p.view.ownDemand(p.backend.Name, reference)
	inDemand := demand.Waiting > 0 || demand.Running > 0 || demand.Rate > toleratedRate
	return !p.isConfigured(reference) || p.copiesRemaining(reference) > 1 || !inDemand
}

func (p *referencePlanner) evictForAdapter(adapter string, toleratedRate float64) bool {
	model, _ := SplitReference(adapter)
	if p.isIntended(model) {
		return true
	}
	var best *Server
	victim, lowest := "", 0.0
	for _, server := range p.idleServers() {
		_, adapterSlots := p.usageAfterAdapterUnloads(server, model, toleratedRate)
		if !server.Loaded[model] || server.Intent != "" || adapterSlots >= p.runtime.AdapterCapacity {
			continue
		}
		if first, cost, possible := p.adapterEvictionCost(server, adapter); possible && (best == nil || cost < lowest) {
			best, victim, lowest = server, first, cost
		}
	}
	if best != nil {
		p.recordAction(best, Action{Model: victim, Intent: model, Reason: "makes way for " + adapter})
		best.Intent = model
	}
	return best != nil
}

func (p *referencePlanner) adapterEvictionCost(server *Server, adapter string) (first string, cost float64, possible bool) {
	model, _ := SplitReference(adapter)
	need := p.memoryUsed(server) + p.addedSize(server, adapter) - p.capacity()
	for _, next := range p.victims(server, model) {
		if need > 0 && p.canEvict(server, next, p.copiesRemaining) {
			if first == "" {
				first = next
			}
			need -= p.freedMemory(server, next)
			cost += p.unloadCost(next)
		}
	}
	return first, cost, need <= 0 && first != ""
}
