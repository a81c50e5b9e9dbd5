package place

func (p *plainPlanner) addCopy(model, why string) bool {
	var best *Server
	bestCost := 0.0
	for _, server := range p.idle() {
		if server.Models[model] || server.Intent != "" || p.exhausted[server.ID] {
			continue
		}
		if !server.Held[model] && p.tokens-p.promisedLoads < 1 || p.reservedForAdapters(server, model) {
			continue
		}
		cost, possible := p.evictionCost(server, model)
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
	if !p.evict(best, model) {
		p.exhausted[best.ID] = true
		return p.addCopy(model, why)
	}
	if !best.Held[model] {
		p.promisedLoads++
	}
	return true
}

func (p *plainPlanner) reservedForAdapters(server *Server, wanted string) bool {
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
		if p.view.totalDemand(p.backend.Name, model.Name).Rate > hotRate && 2*free <= len(copies) {
			return true
		}
	}
	return false
}

func (p *plainPlanner) evictionCost(server *Server, model string) (float64, bool) {
	cost := readingCost * p.reading(server)
	if !server.Held[model] {
		cost += p.sizes[model].LoadTimeS
	} else {
		cost += p.sizes[model].LoadTimeS * 0.25
	}
	need := p.taken(server) + plainUp(p.sizes[model].WeightSizeMb) - p.room()
	for _, victim := range p.victims(server, model) {
		if need <= 0 {
			break
		}
		need -= p.freed(server, victim)
		cost += p.loss(server, victim)
	}
	return cost, need <= 0
}
