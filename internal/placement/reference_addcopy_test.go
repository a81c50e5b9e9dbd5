package placement

func (p *referencePlanner) addCopy(model, reason string) bool {
	var best *Server
	bestCost := 0.0
	for _, server := range p.idleServers() {
		if server.Loaded[model] || server.Intent != "" || p.exhausted[server.ID] {
			continue
		}
		if !server.OnDisk[model] && p.tokens-p.reservedTokens < 1 || p.reservedForAdapters(server, model) {
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
		p.load(best, model, reason)
		return true
	}
	best.Intent = model
	if !p.evict(best, model) {
		p.exhausted[best.ID] = true
		return p.addCopy(model, reason)
	}
	if !best.OnDisk[model] {
		p.reservedTokens++
	}
	return true
}

func (p *referencePlanner) reservedForAdapters(server *Server, modelToLoad string) bool {
	for _, model := range p.runtime.Models {
		if model.Adapters == 0 || model.Name == modelToLoad || !server.Loaded[model.Name] {
			continue
		}
		copies := p.view.copies(p.backend.Name, model.Name)
		free := 0
		for _, host := range copies {
			if host.Ready && !p.hasAction[host.ID] && host.Intent == "" {
				free++
			}
		}
		if p.view.totalDemand(p.backend.Name, model.Name).Rate > hotRate && 2*free <= len(copies) {
			return true
		}
	}
	return false
}

func (p *referencePlanner) evictionCost(server *Server, model string) (float64, bool) {
	cost := prefillDisruptionCost * p.disruption(server)
	switch {
	case server.OnDisk[model]:
		cost += p.sizes[model].LoadTimeS * 0.25
	case server.MaybeOnDisk[model]:
		cost += p.sizes[model].LoadTimeS * 0.625
	default:
		cost += p.sizes[model].LoadTimeS
	}
	need := p.memoryUsed(server) + roundUpUnits(p.sizes[model].WeightSizeMb) - p.capacity()
	chosen, possible := p.chosenVictims(server, p.victims(server, model), need)
	for _, victim := range chosen {
		cost += p.unloadCost(victim) + 0.5
	}
	return cost, possible
}

// chosenVictims takes the cheapest victims until they free enough memory, and then drops each that the others make
// unnecessary.
func (p *referencePlanner) chosenVictims(server *Server, victims []string, need int64) ([]string, bool) {
	var chosen []string
	for _, victim := range victims {
		if need <= 0 {
			break
		}
		need -= p.freedMemory(server, victim)
		chosen = append(chosen, victim)
	}
	if need > 0 {
		return nil, false
	}
	for index := len(chosen) - 1; index >= 0; index-- {
		if freed := p.freedMemory(server, chosen[index]); need+freed <= 0 {
			need += freed
			chosen = append(chosen[:index:index], chosen[index+1:]...)
		}
	}
	return chosen, true
}
