package placement

import (
	"maps"
	"slices"
	"sort"
	"strings"
)

// number is the number of a reference. One that is not in the catalog gets the next free number; an
// unlisted adapter brings its model with it.
func (p *planner) itemNumber(reference string) int {
	if number, known := p.catalog.names[reference]; known {
		return number
	}
	if number, known := p.unconfiguredNumbers[reference]; known {
		return number
	}
	item := catalogItem{
		name: reference,
		key:  ModelKey(p.catalog.backend.Name, reference),
		size: p.catalog.sizeOf(reference),
	}
	if base, adapter := splitReference(reference); adapter != "" {
		item.adapter = true
		item.model = p.itemNumber(base)
	}
	number := len(p.catalog.items) + len(p.unconfigured)
	if !item.adapter {
		item.model = number
	}
	p.unconfiguredNumbers[reference] = number
	p.unconfigured = append(p.unconfigured, item)
	p.demands = append(p.demands, nil)
	p.totals = append(p.totals, nil)
	p.copies = append(p.copies, 0)
	return number
}

// indexDemand sorts the view's demands by number and sums them by model. Unlisted references are
// numbered in the sequence of their names, so that equal views give equal plans.
func (p *planner) indexDemand() {
	var unlisted []string
	for name, demand := range p.view.Demand {
		if number, known := p.catalog.keys[name]; known {
			p.demands[number] = demand
		} else if backend, reference := SplitModelKey(name); backend == p.catalog.backend.Name {
			unlisted = append(unlisted, reference)
		}
	}
	sort.Strings(unlisted)
	for _, reference := range unlisted {
		p.demands[p.itemNumber(reference)] = p.view.Demand[ModelKey(p.catalog.backend.Name, reference)]
	}
	sums := make([]Demand, 0, len(p.view.Demand))
	for number, demand := range p.demands {
		if demand == nil {
			continue
		}
		model := p.item(number).model
		if p.totals[model] == nil {
			sums = append(sums, Demand{})
			p.totals[model] = &sums[len(sums)-1]
			p.demandedModels = append(p.demandedModels, model)
		}
		p.totals[model].add(demand)
	}
	sort.Ints(p.demandedModels)
}

// indexServers takes in the backend's servers, sorted by id.
func (p *planner) indexServers() {
	p.servers = make([]serverState, 0, len(p.view.Servers))
	for _, server := range p.view.Servers {
		if server.Backend == p.catalog.backend.Name {
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
			p.intended[state.server.Intent]++
		}
	}
	p.subtractOrderedLoads()
}

func compareID(left, right serverState) int { return strings.Compare(left.server.ID, right.server.ID) }

// indexLoaded lists what a server holds by number, models and adapters apart.
func (p *planner) indexLoaded(state *serverState) {
	var unlisted []string
	numbers := make([]int, 0, len(state.server.Loaded))
	for reference := range state.server.Loaded {
		if number, known := p.catalog.names[reference]; known {
			numbers = append(numbers, number)
		} else {
			unlisted = append(unlisted, reference)
		}
	}
	slices.Sort(numbers) // models come first in the catalog
	if len(unlisted) > 0 {
		sort.Strings(unlisted)
		for _, reference := range unlisted {
			numbers = append(numbers, p.itemNumber(reference))
		}
		slices.SortFunc(numbers, p.compareModelsFirst)
	}
	models := 0
	for _, number := range numbers {
		state.memoryUsed += p.loadedSize(state, number)
		if !p.item(number).adapter {
			models++
		}
	}
	state.models = numbers[:models]
	state.adapters = numbers[models:]
	state.adapterSlotsUsed = len(state.adapters)
}

// indexMaybeLoaded lists what a server may hold beside its holdings, and counts it as holding that.
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
		if p.item(number).adapter {
			state.adapterSlotsUsed++
		}
		if state.isServing {
			p.uncertain[number]++
		}
	}
}

// subtractOrderedLoads leaves in uncertain what View.Loading does not count already.
func (p *planner) subtractOrderedLoads() {
	for number, servers := range p.uncertain {
		p.uncertain[number] = max(servers-p.loadsOrdered(number), 0)
	}
}

// compareModelsFirst sorts models before adapters, and each by number.
func (p *planner) compareModelsFirst(left, right int) int {
	leftAdapter, rightAdapter := p.item(left).adapter, p.item(right).adapter
	if leftAdapter == rightAdapter {
		return left - right
	}
	if rightAdapter {
		return -1
	}
	return 1
}

// countLoaded counts a server's copies where they count.
func (p *planner) countLoaded(state *serverState) {
	if !state.isServing {
		return
	}
	p.servingCount++
	for _, number := range state.models {
		p.copies[number]++
	}
	for _, number := range state.adapters {
		p.copies[number]++
	}
	for _, model := range state.models {
		if p.adapterCount(model) == 0 {
			continue
		}
		p.hosts[model] = append(p.hosts[model], state.position)
		if state.isFree() {
			p.freeHosts[model]++
		}
	}
}
