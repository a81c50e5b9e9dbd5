package placement

import (
	"strings"

	"ferryspar/internal/configuration"
)

// planner makes one plan for one backend.
type planner struct {
	// Input. Of the view, only Loading, ContextEvictionInProgress and the servers' intents are written.
	view     *View
	runtime  *configuration.Runtime
	capacity memoryUnits // of each server
	items    itemTable
	demand   demandIndex
	servers  []serverState // sorted by id

	// Copies and intents; setIntent and recordAction keep the counts up to date.
	counts copyCounts

	// Output.
	decisions         decisions
	targetUtilization float64 // share of a copy's slots that running requests should occupy

	// Indexes of servers, built on demand.
	indexes searchIndexes
}

// decisions are the actions of a plan and the tokens of the model store's rate limit that it leaves.
type decisions struct {
	actions          []Action
	storeTokens      float64 // loads that the store still allows
	spareStoreTokens float64 // of those, loads that may be used for models that no request waits for
	reservedTokens   float64 // of storeTokens, loads reserved for servers that are freeing memory for a load from the store
}

// mayLoadFromStore reports whether the store allows a load now.
func (d *decisions) mayLoadFromStore() bool { return d.storeTokens >= 1 }

// mayPreload reports whether the store allows one more load of a model that no request waits for.
func (d *decisions) mayPreload() bool {
	return d.mayReserveStoreLoad() && d.spareStoreTokens-d.reservedTokens >= 1
}

// mayReserveStoreLoad reports whether the store allows one more load besides the reserved ones.
func (d *decisions) mayReserveStoreLoad() bool { return d.storeTokens-d.reservedTokens >= 1 }

// newPlanner returns a planner for one backend, with the demand and the servers of the view indexed.
func newPlanner(view *View, catalog *backendCatalog) *planner {
	p := &planner{
		view:      view,
		runtime:   catalog.runtime,
		capacity:  capacityOf(catalog.runtime.WeightSizeMb),
		items:     newItemTable(catalog),
		demand:    newDemandIndex(len(catalog.items)),
		counts:    newCopyCounts(len(catalog.items), len(catalog.adapters)),
		decisions: decisions{storeTokens: view.StoreTokens, spareStoreTokens: view.SpareStoreTokens},
		indexes:   newSearchIndexes(),
	}
	p.indexDemand()
	p.indexServers()
	return p
}

// itemNumber returns the number of a reference. An unconfigured reference is assigned one, and the demand and the
// counts are extended to it.
func (p *planner) itemNumber(reference string) int {
	number := p.items.number(reference)
	count := p.items.count()
	p.demand.growTo(count)
	p.counts.growTo(count)
	return number
}

// loadsOrdered returns how many loads of an item are in progress or planned.
func (p *planner) loadsOrdered(number int) int { return p.view.Loading[p.items.at(number).key] }

// loadsPending returns loadsOrdered plus the number of servers that may have the item loaded.
func (p *planner) loadsPending(number int) int {
	return p.loadsOrdered(number) + p.counts.uncertain[number]
}

// mayLoad reports whether a model may be loaded at a server now: always from the server's disk, and from the store
// within its rate limit.
func (p *planner) mayLoad(state *serverState, model int) bool {
	return state.server.OnDisk[p.items.at(model).name] || p.decisions.mayLoadFromStore()
}

// setIntent sets or clears the model for which a server frees memory.
func (p *planner) setIntent(state *serverState, model string) {
	if state.server.Intent == model {
		return
	}
	if state.isServing {
		p.counts.intents[state.server.Intent]--
		p.counts.intents[model]++
	}
	wasFree := state.isFree()
	state.server.Intent = model
	p.updateFreeHosts(state, wasFree)
}

// recordAction adds an action to the plan. A server gets at most one action per plan.
func (p *planner) recordAction(state *serverState, action Action) {
	action.Server = state.server.ID
	wasFree := state.isFree()
	state.hasAction = true
	p.updateFreeHosts(state, wasFree)
	if action.Load && action.FromStore {
		p.decisions.storeTokens--
		p.decisions.spareStoreTokens--
	}
	if !action.Load {
		p.countUnload(state, p.itemNumber(action.Model))
	}
	p.decisions.actions = append(p.decisions.actions, action)
}

// updateFreeHosts updates counts.freeHosts after a server may have become free or busy.
func (p *planner) updateFreeHosts(state *serverState, wasFree bool) {
	isFree := state.isFree()
	if wasFree == isFree {
		return
	}
	step := 1
	if wasFree {
		step = -1
	}
	for _, model := range state.models {
		if p.items.adapterCount(model) > 0 {
			p.counts.freeHosts[model] += step
		}
	}
}

// countUnload counts a planned unload of an item, and for a model also those of its adapters at the server.
func (p *planner) countUnload(state *serverState, number int) {
	p.counts.plannedUnloads[number]++
	for _, adapter := range state.adapters {
		if p.items.at(adapter).model == number {
			p.counts.plannedUnloads[adapter]++
		}
	}
}

func compareID(left, right serverState) int { return strings.Compare(left.server.ID, right.server.ID) }
