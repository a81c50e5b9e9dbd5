package placement

import (
	"maps"
	"slices"
	"sort"
)

// serverState is the state of a server within a plan.
type serverState struct {
	server           *Server
	position         int                    // in planner.servers
	models           []int                  // numbers of the models that are certainly loaded
	adapters         []int                  // numbers of the adapters that are certainly loaded
	maybeLoadedItems []int                  // numbers of further items that may be loaded
	pastSizes        map[string]memoryUnits // sizes in earlier configurations, by reference
	memoryUsed       memoryUnits            // by all items that are or may be loaded
	adapterSlotsUsed int                    // by all adapters that are or may be loaded
	isServing        bool                   // its copies count
	hasAction        bool                   // the plan has an action for it
	exhausted        bool                   // evict found too few victims at it

	// Results of rankVictims.
	victimsRanked bool
	disruption    float64 // slowdown that a load there causes to the models it serves
	victims       []victim
}

// hasLoaded reports whether the server certainly has an item loaded.
func (s *serverState) hasLoaded(number int) bool {
	return slices.Contains(s.models, number) || slices.Contains(s.adapters, number)
}

// maybeLoaded reports whether the server may have an item loaded that it does not certainly have.
func (s *serverState) maybeLoaded(number int) bool {
	return slices.Contains(s.maybeLoadedItems, number)
}

// isIdle reports whether an action may still be planned for the server.
func (s *serverState) isIdle() bool { return s.isServing && s.server.Ready && !s.hasAction }

// isFree reports whether the server is idle and has no intent.
func (s *serverState) isFree() bool { return s.isIdle() && s.server.Intent == "" }

// indexServers fills the planner's servers, sorted by id, and counts the copies loaded at them.
func (p *planner) indexServers() {
	p.servers = make([]serverState, 0, len(p.view.Servers))
	for _, server := range p.view.Servers {
		if server.Backend == p.items.catalog.backend.Name {
			p.servers = append(p.servers, serverState{server: server, isServing: server.isServing(p.view)})
		}
	}
	if !slices.IsSortedFunc(p.servers, compareID) {
		slices.SortStableFunc(p.servers, compareID)
	}
	for position := range p.servers {
		state := &p.servers[position]
		state.position = position
		state.pastSizes = p.view.SizeHistory.sizesAt(state.server.ID)
		p.indexLoaded(state)
		p.indexMaybeLoaded(state)
		p.countLoaded(state)
		if state.server.Intent != "" && state.isServing {
			p.counts.intents[state.server.Intent]++
		}
	}
	p.subtractOrderedLoads()
}

// indexLoaded sets the models and adapters that a server has loaded, and the memory and slots that they use.
func (p *planner) indexLoaded(state *serverState) {
	var unconfigured []string
	numbers := make([]int, 0, len(state.server.Loaded))
	for reference := range state.server.Loaded {
		if number, known := p.items.catalog.byReference[reference]; known {
			numbers = append(numbers, number)
		} else {
			unconfigured = append(unconfigured, reference)
		}
	}
	slices.Sort(numbers) // the catalog numbers models before adapters
	if len(unconfigured) > 0 {
		sort.Strings(unconfigured)
		for _, reference := range unconfigured {
			numbers = append(numbers, p.itemNumber(reference))
		}
		slices.SortFunc(numbers, p.items.compareModelsFirst)
	}
	models := 0
	for _, number := range numbers {
		state.memoryUsed += p.loadedSize(state, number)
		if !p.items.at(number).adapter {
			models++
		}
	}
	state.models = numbers[:models]
	state.adapters = numbers[models:]
	state.adapterSlotsUsed = len(state.adapters)
}

// indexMaybeLoaded sets the further items that a server may have loaded, and adds them to the memory and slots used.
func (p *planner) indexMaybeLoaded(state *serverState) {
	if len(state.server.MaybeLoaded) == 0 {
		return
	}
	for _, reference := range slices.Sorted(maps.Keys(state.server.MaybeLoaded)) {
		if state.server.Loaded[reference] || !state.server.MaybeLoaded[reference] {
			continue
		}
		number := p.itemNumber(reference)
		state.maybeLoadedItems = append(state.maybeLoadedItems, number)
		state.memoryUsed += p.loadedSize(state, number)
		if p.items.at(number).adapter {
			state.adapterSlotsUsed++
		}
		if state.isServing {
			p.counts.uncertain[number]++
		}
	}
}

// subtractOrderedLoads removes from counts.uncertain what View.Loading counts already.
func (p *planner) subtractOrderedLoads() {
	for number, servers := range p.counts.uncertain {
		p.counts.uncertain[number] = max(servers-p.loadsOrdered(number), 0)
	}
}

// countLoaded adds a serving server, its copies and the models with adapters that it hosts to the counts.
func (p *planner) countLoaded(state *serverState) {
	if !state.isServing {
		return
	}
	p.counts.servingServers++
	for _, number := range state.models {
		p.counts.loadedCopies[number]++
	}
	for _, number := range state.adapters {
		p.counts.loadedCopies[number]++
	}
	for _, model := range state.models {
		if p.items.adapterCount(model) == 0 {
			continue
		}
		p.counts.hosts[model] = append(p.counts.hosts[model], state.position)
		if state.isFree() {
			p.counts.freeHosts[model]++
		}
	}
}
