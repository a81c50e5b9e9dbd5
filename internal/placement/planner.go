package placement

import (
	"strings"

	"ferryspar/internal/configuration"
)

// planner makes one plan of one backend.
type planner struct {
	// What the plan reads. Only Intent of the view's servers, Loading and ContextEvictionInProgress
	// are written.
	view     *View
	runtime  *configuration.Runtime
	capacity memoryUnits // of each server
	items    itemTable
	demand   demandIndex
	servers  []serverState // sorted by id

	// What the plan counts; setIntent and recordAction keep it up to date.
	counts copyCounts

	// What the plan decides.
	decisions         decisions
	targetUtilization float64 // share of its slots that a copy is meant to carry

	// Indexes for searches, made on demand.
	searches serverSearches
}

// decisions are the actions of a plan and what is left of the model store's rate.
type decisions struct {
	actions          []Action
	storeTokens      float64 // loads from the store that are left
	spareStoreTokens float64 // of those, loads that no request needs to wait for
	reservedTokens   float64 // of those, reserved for servers that free memory for a load from the store
}

// mayLoadFromStore reports whether the store allows a load now.
func (d *decisions) mayLoadFromStore() bool { return d.storeTokens >= 1 }

// mayLoadUnasked reports whether the store allows one more load that no request waits for.
func (d *decisions) mayLoadUnasked() bool {
	return d.mayReserveStoreLoad() && d.spareStoreTokens-d.reservedTokens >= 1
}

// mayReserveStoreLoad reports whether the store allows one more load beside the reserved ones.
func (d *decisions) mayReserveStoreLoad() bool { return d.storeTokens-d.reservedTokens >= 1 }

// newPlanner indexes the view for a backend.
func newPlanner(view *View, catalog *backendCatalog) *planner {
	p := &planner{
		view:      view,
		runtime:   catalog.runtime,
		capacity:  capacityOf(catalog.runtime.WeightSizeMb),
		items:     newItemTable(catalog),
		demand:    newDemandIndex(len(catalog.items)),
		counts:    newCopyCounts(len(catalog.items), len(catalog.adapters)),
		decisions: decisions{storeTokens: view.StoreTokens, spareStoreTokens: view.SpareStoreTokens},
		searches:  newServerSearches(),
	}
	p.indexDemand()
	p.indexServers()
	return p
}

// itemNumber returns the number of a reference, and makes room for an unconfigured one in the indexes
// by item.
func (p *planner) itemNumber(reference string) int {
	number := p.items.number(reference)
	count := p.items.count()
	p.demand.growTo(count)
	p.counts.growTo(count)
	return number
}

// loadsOrdered is how many loads of an item are in progress or planned.
func (p *planner) loadsOrdered(number int) int { return p.view.Loading[p.items.at(number).key] }

// loadsPending is loadsOrdered plus the servers that may have the item loaded.
func (p *planner) loadsPending(number int) int {
	return p.loadsOrdered(number) + p.counts.uncertain[number]
}

// mayLoad reports whether a model may be loaded at a server now: from the server's disk always, from the
// store within its rate.
func (p *planner) mayLoad(state *serverState, model int) bool {
	return state.server.OnDisk[p.items.at(model).name] || p.decisions.mayLoadFromStore()
}

// setIntent makes a server free memory for a model, or for none.
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

// recordAction adds an action at a server, the only one of the plan there.
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

// updateFreeHosts corrects counts.freeHosts after a change of a server.
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

// countUnload counts the copy of an item as unloaded, and with a model its adapters at the server.
func (p *planner) countUnload(state *serverState, number int) {
	p.counts.plannedUnloads[number]++
	for _, adapter := range state.adapters {
		if p.items.at(adapter).model == number {
			p.counts.plannedUnloads[adapter]++
		}
	}
}

func compareID(left, right serverState) int { return strings.Compare(left.server.ID, right.server.ID) }
