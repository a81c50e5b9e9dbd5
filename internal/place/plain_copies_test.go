package place

import "sort"

func (p *plainPlanner) addHotCopies(pressing bool) {
	type want struct {
		model string
		rate  float64
	}
	var wanted []want
	for _, model := range p.runtime.Models {
		demand := p.view.totalDemand(p.backend.Name, model.Name)
		copies := len(p.view.copies(p.backend.Name, model.Name))
		present := float64(copies + p.loading(model.Name))
		urgent := demand.Waiting > 0 || present < p.needed(demand)
		if present < p.target(model.Name) && urgent == pressing && (demand.Rate > hotRate || copies > 0) && !p.intended(model.Name) {
			wanted = append(wanted, want{model.Name, demand.Rate})
		}
	}
	sort.SliceStable(wanted, func(left, right int) bool { return wanted[left].rate > wanted[right].rate })
	for _, one := range wanted {
		p.addCopy(one.model, "in high demand")
	}
}

func (p *plainPlanner) restoreStored() {
	for _, server := range p.idle() {
		p.restore(server)
	}
}

func (p *plainPlanner) restore(server *Server) {
	best, bestRank := "", 0.0
	for _, model := range p.runtime.Models {
		name := model.Name
		if server.Models[name] || !server.Held[name] || server.Intent != "" || !p.fits(server, name) {
			continue
		}
		demand := p.view.totalDemand(p.backend.Name, name)
		copies := len(p.view.copies(p.backend.Name, name)) + p.loading(name)
		rank := (demand.Rate + 0.1) / float64(1+copies*copies)
		if rank > bestRank {
			best, bestRank = name, rank
		}
	}
	if best != "" {
		p.load(server, best, "it held this before")
	}
}

func (p *plainPlanner) addAdapters(pressing bool) {
	type want struct {
		reference string
		waiting   int
		copies    int
		rate      float64
	}
	var wanted []want
	for _, model := range p.runtime.Models {
		if model.Adapters == 0 || len(p.view.copies(p.backend.Name, model.Name)) == 0 {
			continue
		}
		for _, adapter := range adapterNames(model) {
			reference := Reference(model.Name, adapter)
			demand := p.view.ownDemand(p.backend.Name, reference)
			copies := len(p.view.copies(p.backend.Name, reference)) + p.loading(reference)
			urgent := demand.Waiting > 0 || copies == 0 && demand.Rate > 0
			if copies < 2 && urgent == pressing {
				wanted = append(wanted, want{reference, demand.Waiting, copies, demand.Rate})
			}
		}
	}
	sort.SliceStable(wanted, func(left, right int) bool {
		one, other := wanted[left], wanted[right]
		if one.copies != other.copies {
			return one.copies < other.copies
		}
		if one.waiting != other.waiting {
			return one.waiting > other.waiting
		}
		return one.rate > other.rate
	})
	for _, one := range wanted {
		p.addAdapter(one.reference, one.copies == 0 && (one.waiting > 0 || one.rate > 0))
	}
}
