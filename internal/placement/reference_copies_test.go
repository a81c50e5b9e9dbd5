package placement

import "sort"

func (p *referencePlanner) addHotCopies(selected priority) {
	type candidateCopy struct {
		model string
		rate  float64
	}
	var candidates []candidateCopy
	for _, model := range p.runtime.Models {
		demand := p.view.totalDemand(p.backend.Name, model.Name)
		copies := len(p.view.copies(p.backend.Name, model.Name))
		present := float64(copies + p.loadsPending(model.Name))
		isHandled := priorityOf(demand.Waiting > 0 || present < p.copiesNeeded(demand)) == selected
		isCandidate := (demand.Rate > hotRate || copies > 0) && !p.isIntended(model.Name)
		if present < p.targetCopies(model.Name) && isHandled && isCandidate {
			candidates = append(candidates, candidateCopy{model.Name, demand.Rate})
		}
	}
	sort.SliceStable(candidates, func(left, right int) bool { return candidates[left].rate > candidates[right].rate })
	for _, candidate := range candidates {
		p.addCopy(candidate.model, "in high demand")
	}
}

func (p *referencePlanner) restoreFromDisk() {
	for _, server := range p.idleServers() {
		p.restoreServer(server)
	}
}

func (p *referencePlanner) restoreServer(server *Server) {
	best := p.bestRestore(server, server.OnDisk)
	if best == "" && p.tokens-p.reservedTokens >= 1 && p.spareTokens-p.reservedTokens >= 1 {
		lacksCopies := map[string]bool{}
		for model := range server.MaybeOnDisk {
			copies := len(p.view.copies(p.backend.Name, model)) + p.loadsPending(model)
			lacksCopies[model] = float64(copies) < p.targetCopies(model)
		}
		best = p.bestRestore(server, lacksCopies)
	}
	if best != "" {
		p.load(server, best, "it held this before")
	}
}

func (p *referencePlanner) bestRestore(server *Server, disk map[string]bool) string {
	best, bestRank := "", 0.0
	for _, model := range p.runtime.Models {
		name := model.Name
		if server.Loaded[name] || !disk[name] || server.Intent != "" || !p.fits(server, name) {
			continue
		}
		demand := p.view.totalDemand(p.backend.Name, name)
		copies := len(p.view.copies(p.backend.Name, name)) + p.loadsPending(name)
		rank := (demand.Rate + 0.1) / float64(1+copies*copies)
		if rank > bestRank {
			best, bestRank = name, rank
		}
	}
	return best
}

func (p *referencePlanner) addAdapters(selected priority) {
	type candidateLoad struct {
		reference string
		waiting   int
		copies    int
		rate      float64
	}
	var candidates []candidateLoad
	for _, model := range p.runtime.Models {
		if model.Adapters == 0 || len(p.view.copies(p.backend.Name, model.Name)) == 0 {
			continue
		}
		for _, adapter := range adapterNames(model) {
			reference := Reference(model.Name, adapter)
			demand := p.view.ownDemand(p.backend.Name, reference)
			copies := len(p.view.copies(p.backend.Name, reference)) + p.loadsPending(reference)
			isUrgent := demand.Waiting > 0 || copies == 0 && demand.Rate > 0
			if copies < 2 && priorityOf(isUrgent) == selected {
				candidates = append(candidates, candidateLoad{reference, demand.Waiting, copies, demand.Rate})
			}
		}
	}
	sort.SliceStable(candidates, func(left, right int) bool {
		first, second := candidates[left], candidates[right]
		if first.copies != second.copies {
			return first.copies < second.copies
		}
		if first.waiting != second.waiting {
			return first.waiting > second.waiting
		}
		return first.rate > second.rate
	})
	for _, candidate := range candidates {
		isRequested := candidate.copies == 0 && (candidate.waiting > 0 || candidate.rate > 0)
		p.addAdapter(candidate.reference, isRequested)
	}
}
