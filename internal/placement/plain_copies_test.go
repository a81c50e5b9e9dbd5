package placement

import "sort"

func (p *referencePlanner) addHotCopies(urgentOnly bool) {
	type want struct {
		model string
		rate  float64
	}
	var candidates []want
	for _, model := range p.runtime.Models {
		demand := p.view.totalDemand(p.backend.Name, model.Name)
		copies := len(p.view.copies(p.backend.Name, model.Name))
		present := float64(copies + p.loadsPending(model.Name))
		urgent := demand.Waiting > 0 || present < p.copiesNeeded(demand)
		if present < p.targetCopies(model.Name) && urgent == urgentOnly && (demand.Rate > hotRate || copies > 0) && !p.isIntended(model.Name) {
			candidates = append(candidates, want{model.Name, demand.Rate})
		}
	}
	sort.SliceStable(candidates, func(left, right int) bool { return candidates[left].rate > candidates[right].rate })
	for _, server := range candidates {
		p.addCopy(server.model, "in high demand")
	}
}

func (p *referencePlanner) restoreFromDisk() {
	for _, server := range p.idleServers() {
		p.restoreServer(server)
	}
}

func (p *referencePlanner) restoreServer(server *Server) {
	best, bestRank := "", 0.0
	for _, model := range p.runtime.Models {
		name := model.Name
		if server.Loaded[name] || !server.OnDisk[name] || server.Intent != "" || !p.fits(server, name) {
			continue
		}
		demand := p.view.totalDemand(p.backend.Name, name)
		copies := len(p.view.copies(p.backend.Name, name)) + p.loadsPending(name)
		rank := (demand.Rate + 0.1) / float64(1+copies*copies)
		if rank > bestRank {
			best, bestRank = name, rank
		}
	}
	if best != "" {
		p.load(server, best, "it held this before")
	}
}

func (p *referencePlanner) addAdapters(urgentOnly bool) {
	type want struct {
		reference string
		waiting   int
		copies    int
		rate      float64
	}
	var candidates []want
	for _, model := range p.runtime.Models {
		if model.Adapters == 0 || len(p.view.copies(p.backend.Name, model.Name)) == 0 {
			continue
		}
		for _, adapter := range adapterNames(model) {
			reference := Reference(model.Name, adapter)
			demand := p.view.ownDemand(p.backend.Name, reference)
			copies := len(p.view.copies(p.backend.Name, reference)) + p.loadsPending(reference)
			urgent := demand.Waiting > 0 || copies == 0 && demand.Rate > 0
			if copies < 2 && urgent == urgentOnly {
				candidates = append(candidates, want{reference, demand.Waiting, copies, demand.Rate})
			}
		}
	}
	sort.SliceStable(candidates, func(left, right int) bool {
		server, other := candidates[left], candidates[right]
		if server.copies != other.copies {
			return server.copies < other.copies
		}
		if server.waiting != other.waiting {
			return server.waiting > other.waiting
		}
		return server.rate > other.rate
	})
	for _, server := range candidates {
		p.addAdapter(server.reference, server.copies == 0 && (server.waiting > 0 || server.rate > 0))
	}
}
