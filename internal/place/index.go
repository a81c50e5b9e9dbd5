package place

import (
	"maps"
	"slices"
	"sort"
	"strings"
)

// number is the number of a reference. One that is not in the catalog gets the next free number; an
// unlisted adapter brings its model with it.
func (p *planner) number(reference string) int {
	if number, known := p.catalog.names[reference]; known {
		return number
	}
	if number, known := p.unlistedNumbers[reference]; known {
		return number
	}
	item := catalogItem{
		name: reference,
		key:  Key(p.catalog.backend.Name, reference),
		size: p.catalog.sizeOf(reference),
	}
	if base, adapter := split(reference); adapter != "" {
		item.adapter = true
		item.model = p.number(base)
	}
	number := len(p.catalog.items) + len(p.unlisted)
	if !item.adapter {
		item.model = number
	}
	p.unlistedNumbers[reference] = number
	p.unlisted = append(p.unlisted, item)
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
		} else if backend, reference := SplitKey(name); backend == p.catalog.backend.Name {
			unlisted = append(unlisted, reference)
		}
	}
	sort.Strings(unlisted)
	for _, reference := range unlisted {
		p.demands[p.number(reference)] = p.view.Demand[Key(p.catalog.backend.Name, reference)]
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
			p.servers = append(p.servers, serverState{server: server, serving: server.counts(p.view)})
		}
	}
	if !slices.IsSortedFunc(p.servers, compareID) {
		slices.SortStableFunc(p.servers, compareID)
	}
	for position := range p.servers {
		state := &p.servers[position]
		state.position = position
		state.remembered = p.view.Sizes.of(state.server.ID)
		p.indexHoldings(state)
		p.indexUncertain(state)
		p.countHoldings(state)
		if state.server.Intent != "" && state.serving {
			p.intended[state.server.Intent]++
		}
	}
	p.countUncertain()
}

func compareID(left, right serverState) int { return strings.Compare(left.server.ID, right.server.ID) }

// indexHoldings lists what a server holds by number, models and adapters apart.
func (p *planner) indexHoldings(state *serverState) {
	var unlisted []string
	numbers := make([]int, 0, len(state.server.Models))
	for reference := range state.server.Models {
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
			numbers = append(numbers, p.number(reference))
		}
		slices.SortFunc(numbers, p.compareKind)
	}
	models := 0
	for _, number := range numbers {
		state.used += p.heldSize(state, number)
		if !p.item(number).adapter {
			models++
		}
	}
	state.models = numbers[:models]
	state.adapters = numbers[models:]
	state.places = len(state.adapters)
}

// indexUncertain lists what a server may hold beside its holdings, and counts it as holding that.
func (p *planner) indexUncertain(state *serverState) {
	if len(state.server.MayHold) == 0 {
		return
	}
	for _, reference := range slices.Sorted(maps.Keys(state.server.MayHold)) {
		if state.server.Models[reference] || !state.server.MayHold[reference] {
			continue
		}
		number := p.number(reference)
		state.uncertain = append(state.uncertain, number)
		state.used += p.heldSize(state, number)
		if p.item(number).adapter {
			state.places++
		}
		if state.serving {
			p.uncertain[number]++
		}
	}
}

// countUncertain leaves in uncertain what View.Loading does not count already.
func (p *planner) countUncertain() {
	for number, servers := range p.uncertain {
		p.uncertain[number] = max(servers-p.ordered(number), 0)
	}
}

// compareKind sorts models before adapters, and each by number.
func (p *planner) compareKind(left, right int) int {
	leftAdapter, rightAdapter := p.item(left).adapter, p.item(right).adapter
	if leftAdapter == rightAdapter {
		return left - right
	}
	if rightAdapter {
		return -1
	}
	return 1
}

// countHoldings counts a server's copies where they count.
func (p *planner) countHoldings(state *serverState) {
	if !state.serving {
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
		p.holders[model] = append(p.holders[model], state.position)
		if state.free() {
			p.freeHolders[model]++
		}
	}
}
