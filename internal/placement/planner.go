package placement

import (
	"slices"

	"ferryspar/internal/configuration"
)

// planner holds one plan of one backend in the making. Slices and maps over models and adapters go by
// their numbers in the catalog, those over servers by position in servers.
type planner struct {
	view                *View
	catalog             *backendCatalog
	runtime             *configuration.Runtime
	capacity            memoryUnits    // of each server
	unconfigured        []catalogItem  // numbered behind the catalog's items
	unconfiguredNumbers map[string]int // reference to number

	servers      []serverState // sorted by id
	serverByID   map[string]int
	servingCount int // servers whose copies count

	demands        []*Demand // own ones, nil for none
	totals         []*Demand // by model, with its adapters; nil for none
	demandedModels []int     // models with a total, ascending

	copies         []int          // at serving servers
	uncertain      map[int]int    // serving servers that may hold it, beyond those that View.Loading counts
	plannedUnloads map[int]int    // copies taken by the actions so far
	intended       map[string]int // servers that make room, by the model they make it for
	hosts          [][]int        // servers that hold a model with adapters
	freeHosts      []int          // how many of those are free

	// Indexes made on demand: servers by cost for each size, copies on disk as linked lists,
	// servers with room for an adapter by model, and models none of whose adapters may be unloaded.
	rankedBySize          map[memoryUnits][]rankedServer
	diskCopies            []diskCopy
	firstDiskCopy         []int
	adapterCandidates     map[int][]int
	adapterSwapImpossible map[int]bool

	actions           []Action
	tokens            float64 // loads from the store that are left
	reservedTokens    float64 // of those, for servers that make room
	targetUtilization float64 // share of its slots that a copy is to carry
}

// serverState is a server within a plan.
type serverState struct {
	server           *Server
	position         int
	models           []int                  // loaded
	adapters         []int                  // loaded
	maybeLoadedItems []int                  // what it may hold beside
	pastSizes        map[string]memoryUnits // sizes by earlier configurations, by reference
	memoryUsed       memoryUnits            // of all that it holds or may hold
	adapterSlotsUsed int                    // of adapters that it holds or may hold
	isServing        bool                   // its copies count
	hasAction        bool                   // the plan has an action for it
	exhausted        bool                   // no room could be made at it

	// What rankVictims works out.
	victimsRanked bool
	disruption    float64 // what a load there costs the models that are served
	victims       []victim
}

// victim is a model that could be unloaded.
type victim struct {
	model       int
	cost        float64
	freedMemory memoryUnits
}

var noDemand = &Demand{}

// newPlanner indexes the view for a backend.
func newPlanner(view *View, catalog *backendCatalog) *planner {
	items, models := len(catalog.items), len(catalog.adapters)
	p := &planner{
		view:                  view,
		catalog:               catalog,
		runtime:               catalog.runtime,
		capacity:              capacityOf(catalog.runtime.WeightSizeMb),
		unconfiguredNumbers:   map[string]int{},
		demands:               make([]*Demand, items),
		totals:                make([]*Demand, items),
		copies:                make([]int, items),
		uncertain:             map[int]int{},
		plannedUnloads:        map[int]int{},
		intended:              map[string]int{},
		hosts:                 make([][]int, models),
		freeHosts:             make([]int, models),
		rankedBySize:          map[memoryUnits][]rankedServer{},
		adapterCandidates:     map[int][]int{},
		adapterSwapImpossible: map[int]bool{},
		tokens:                view.StoreTokens,
	}
	p.indexDemand()
	p.indexServers()
	return p
}

// item is the item of a number. The pointer is valid until the next call of number.
func (p *planner) item(number int) *catalogItem {
	if number < len(p.catalog.items) {
		return &p.catalog.items[number]
	}
	return &p.unconfigured[number-len(p.catalog.items)]
}

// adapterCount is how many adapters a model has in the configuration.
func (p *planner) adapterCount(model int) int {
	if model < len(p.catalog.adapters) {
		return len(p.catalog.adapters[model])
	}
	return 0
}

// loadTime is the time to load a model from the store in seconds, 0 where not known.
func (p *planner) loadTime(model int) float64 {
	if model < len(p.runtime.Models) {
		return p.runtime.Models[model].LoadTimeS
	}
	return 0
}

// totalDemand is the demand of a model with its adapters.
func (p *planner) totalDemand(model int) *Demand {
	if total := p.totals[model]; total != nil {
		return total
	}
	return noDemand
}

// ownDemand is the demand of a model or adapter alone.
func (p *planner) ownDemand(number int) *Demand {
	if own := p.demands[number]; own != nil {
		return own
	}
	return noDemand
}

// ordered is how many loads of a model or adapter are under way or planned.
func (p *planner) loadsOrdered(number int) int { return p.view.Loading[p.item(number).key] }

// loading is ordered, and the servers that may hold the model or adapter.
func (p *planner) loadsPending(number int) int { return p.loadsOrdered(number) + p.uncertain[number] }

// copiesLoaded is how many serving servers hold a model or adapter.
func (p *planner) copiesLoaded(number int) int { return p.copies[number] }

// remaining is copiesLoaded less what the plan unloads.
func (p *planner) copiesRemaining(number int) int { return p.copies[number] - p.plannedUnloads[number] }

func (s *serverState) hasLoaded(number int) bool {
	return slices.Contains(s.models, number) || slices.Contains(s.adapters, number)
}

// maybeLoaded reports whether a server may hold a model or adapter that it does not surely hold.
func (s *serverState) maybeLoaded(number int) bool {
	return slices.Contains(s.maybeLoadedItems, number)
}

// idle reports whether the plan may still act at the server.
func (s *serverState) isIdle() bool { return s.isServing && s.server.Ready && !s.hasAction }

// free reports whether it is idle and makes room for nothing.
func (s *serverState) isFree() bool { return s.isIdle() && s.server.Intent == "" }

// update changes a server and keeps freeHosts right.
func (p *planner) updateServer(state *serverState, change func()) {
	before := state.isFree()
	change()
	after := state.isFree()
	if before == after {
		return
	}
	step := 1
	if before {
		step = -1
	}
	for _, model := range state.models {
		if p.adapterCount(model) > 0 {
			p.freeHosts[model] += step
		}
	}
}

// setIntent has a server make room for a model, or for none.
func (p *planner) setIntent(state *serverState, model string) {
	if state.server.Intent == model {
		return
	}
	if state.isServing {
		p.intended[state.server.Intent]--
		p.intended[model]++
	}
	p.updateServer(state, func() { state.server.Intent = model })
}

// record adds an action at a server, the only one of the plan there.
func (p *planner) recordAction(state *serverState, action Action) {
	action.Server = state.server.ID
	p.updateServer(state, func() { state.hasAction = true })
	if action.Load && action.FromStore {
		p.tokens--
	}
	if !action.Load {
		p.countUnloaded(state, p.itemNumber(action.Model))
	}
	p.actions = append(p.actions, action)
}

// countUnloaded counts a model or adapter as gone, and with a model its adapters at the server.
func (p *planner) countUnloaded(state *serverState, number int) {
	p.plannedUnloads[number]++
	for _, adapter := range state.adapters {
		if p.item(adapter).model == number {
			p.plannedUnloads[adapter]++
		}
	}
}
