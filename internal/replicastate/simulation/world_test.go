package simulation

import (
	"fmt"
	"strings"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/placement"
)

const backendName = "s"

// sizes are those of all models; an adapter takes adapterSize. Any two models and their adapters fit a server.
var sizes = map[string]float64{"m1": 40, "m2": 40, "m3": 45, "m4": 30, "m5": 45, "m6": 35, "m7": 45, "m8": 44}

const (
	adapterSize  = 5.0
	adapterCount = 3
	loadTokens   = 4
)

// sizeOf is the size of a model or adapter.
func sizeOf(reference string) float64 {
	if strings.Contains(reference, "/") {
		return adapterSize
	}
	return sizes[reference]
}

// newTable is a configuration that names some models; the first two have adapters.
func newTable(revision int64, models []string) *configuration.Table {
	runtime := &configuration.Runtime{Slots: 8, WeightSizeMb: serverCapacity, AdapterCapacity: serverAdapterCapacity, LoadsPerS: 1}
	for _, name := range models {
		model := configuration.Model{Name: name, WeightSizeMb: sizes[name], LoadTimeS: 1, AdapterSizeMb: adapterSize}
		if name == "m1" || name == "m2" {
			model.Adapters = adapterCount
		}
		runtime.Models = append(runtime.Models, model)
	}
	return configuration.NewTable(configuration.Configuration{
		Revision: revision,
		Backends: []configuration.Backend{{Name: backendName, Runtime: runtime}},
	}, nil)
}

// allowances are what a run allows beyond the ordinary.
type allowances struct {
	unboundedDelay     bool // orders arrive later than any bound, twice too, and freezes fall between check and write
	survivesRestart    bool // orders that were held up reach the next process of a replica
	overlappingHolders bool // a holder sends orders without having waited for the end of the previous lease
}

// failure is an invariant that was broken.
type failure struct {
	invariant invariant
	detail    string
}

// world is one run.
type world struct {
	*engine
	allowances
	mutation        mutation
	fencing         bool
	servers         []*server
	nodes           []*node
	register        *register
	links           map[linkKey]*link
	table           *configuration.Table
	wanted          []string
	onNextOrder     []fault // to happen with the next order
	waitingSince    map[string]time.Time
	faultsEnd       time.Time
	failures        []failure
	rejectedUnaware int
	rejectedBeyond  int
	responses       map[int]int // orders that arrived, by status
	lateResponses   map[int]int // those of them whose call had ended
	trace           []string
	verbose         bool
}

func (w *world) fail(broken invariant, format string, values ...any) {
	w.failures = append(w.failures, failure{broken, w.stamp() + fmt.Sprintf(format, values...)})
	w.log("%s broken: "+format, append([]any{broken}, values...)...)
}

func (w *world) failed() bool { return len(w.failures) > 0 }

func (w *world) stamp() string { return fmt.Sprintf("%7.3f ", w.now.Sub(start).Seconds()) }

func (w *world) log(format string, values ...any) {
	if w.verbose {
		w.trace = append(w.trace, w.stamp()+fmt.Sprintf(format, values...))
	}
}

// missing is what is wanted, named by the configuration and loaded nowhere.
func (w *world) missing() []string {
	var missing []string
	for _, reference := range w.wanted {
		if w.table.HasModel(0, reference) && !w.loaded(reference) {
			missing = append(missing, reference)
		}
	}
	return missing
}

func (w *world) loaded(reference string) bool {
	for _, server := range w.servers {
		if server.loaded[reference] && !server.down {
			return true
		}
	}
	return false
}

// view is a planner's input without servers: what is wanted is asked for, and waits where it is loaded nowhere.
func (w *world) view(node *node) *placement.View {
	view := &placement.View{
		Now: w.now, Table: node.table, SizeHistory: node.sizes, Demand: map[string]*placement.Demand{}, Loading: map[string]int{},
		DrainedZones: map[string]bool{}, StoreTokens: loadTokens, DemandKnown: true,
	}
	for _, reference := range w.wanted {
		demand := &placement.Demand{Rate: 1, LongTermRate: 1, LastRequestAt: w.now, LatencyTargetMs: 2000}
		if !w.loaded(reference) {
			demand.Waiting = 2
			demand.OldestWaitMs = float64(w.now.Sub(w.waitingSince[reference]).Milliseconds())
		}
		view.Demand[placement.ModelKey(backendName, reference)] = demand
	}
	return view
}

// want changes what is asked for.
func (w *world) want(references []string) {
	w.wanted = references
	w.waitingSince = map[string]time.Time{}
	for _, reference := range references {
		w.waitingSince[reference] = w.now
	}
	w.log("wanted: %v", references)
}

// configure puts a configuration that names some models into force.
func (w *world) configure(models []string) {
	w.table = newTable(w.table.Configuration.Revision+1, models)
	for _, node := range w.nodes {
		node.adoptConfiguration(w.table)
	}
	w.log("configured: %v", models)
}
