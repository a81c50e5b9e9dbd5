package simulation

import (
	"fmt"
	"strings"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/placement"
)

const backendName = "s"

// sizes holds the size of each model; an adapter takes adapterSize. Any two models with two adapters fit on a server.
var sizes = map[string]float64{"m1": 40, "m2": 40, "m3": 45, "m4": 30, "m5": 45, "m6": 35, "m7": 45, "m8": 44}

const (
	adapterSize  = 5.0
	adapterCount = 3
	loadTokens   = 4
)

// sizeOf returns the size of a model or adapter.
func sizeOf(reference string) float64 {
	if strings.Contains(reference, "/") {
		return adapterSize
	}
	return sizes[reference]
}

// newTable returns a configuration with the given models; m1 and m2 have adapters.
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

// faultModel lists the assumptions that are given up in a run.
type faultModel struct {
	unboundedDelay       bool // orders may arrive arbitrarily late or twice, and a freeze may fall between lease check and send
	deliversAfterRestart bool // delayed orders may reach the next process of a replica
	overlappingHolders   bool // a holder may send orders before the previous holder's lease has expired
}

// failure is a violation of an invariant.
type failure struct {
	invariant invariant
	detail    string
}

// cluster is the state of one run.
type cluster struct {
	*engine
	faultModel
	mutation                   mutation
	fencing                    bool
	servers                    []*server
	nodes                      []*node
	register                   *register
	links                      map[linkKey]*link
	table                      *configuration.Table
	wanted                     []string
	onNextOrder                []fault // to be injected when the next order is sent
	waitingSince               map[string]time.Time
	faultsEnd                  time.Time
	failures                   []failure
	rejectedAfterForeignOrder  int
	rejectedWithUnboundedDelay int
	responses                  map[int]int // orders that arrived, by status of the response
	lateResponses              map[int]int // those whose call had ended, by status of the response
	trace                      []string
	verbose                    bool
}

func (c *cluster) fail(broken invariant, format string, values ...any) {
	c.failures = append(c.failures, failure{broken, c.timestamp() + fmt.Sprintf(format, values...)})
	c.log("invariant violated: %s: "+format, append([]any{broken}, values...)...)
}

func (c *cluster) failed() bool { return len(c.failures) > 0 }

func (c *cluster) timestamp() string { return fmt.Sprintf("%7.3f ", c.now.Sub(start).Seconds()) }

func (c *cluster) log(format string, values ...any) {
	if c.verbose {
		c.trace = append(c.trace, c.timestamp()+fmt.Sprintf(format, values...))
	}
}

// missing returns the wanted models and adapters that the configuration contains and no running server has loaded.
func (c *cluster) missing() []string {
	var missing []string
	for _, reference := range c.wanted {
		if c.table.HasModel(0, reference) && !c.loaded(reference) {
			missing = append(missing, reference)
		}
	}
	return missing
}

func (c *cluster) loaded(reference string) bool {
	for _, server := range c.servers {
		if server.loaded[reference] && !server.down {
			return true
		}
	}
	return false
}

// view returns the planner's input without the servers. There is demand for everything that is wanted, and requests wait for
// what is not loaded on any server.
func (c *cluster) view(node *node) *placement.View {
	view := &placement.View{
		Now: c.now, Table: node.table, SizeHistory: node.sizes, Demand: map[string]*placement.Demand{}, Loading: map[string]int{},
		DrainedZones: map[string]bool{}, StoreTokens: loadTokens, DemandKnown: true,
	}
	for _, reference := range c.wanted {
		demand := &placement.Demand{Rate: 1, LongTermRate: 1, LastRequestAt: c.now}
		if !c.loaded(reference) {
			demand.Waiting = 2
			demand.OldestWaitMs = float64(c.now.Sub(c.waitingSince[reference]).Milliseconds())
		}
		view.Demand[placement.ModelKey(backendName, reference)] = demand
	}
	return view
}

// want replaces the set of wanted models and adapters.
func (c *cluster) want(references []string) {
	c.wanted = references
	c.waitingSince = map[string]time.Time{}
	for _, reference := range references {
		c.waitingSince[reference] = c.now
	}
	c.log("wanted: %v", references)
}

// configure publishes a configuration with the given models to all nodes.
func (c *cluster) configure(models []string) {
	c.table = newTable(c.table.Configuration.Revision+1, models)
	for _, node := range c.nodes {
		node.adoptConfiguration(c.table)
	}
	c.log("configured: %v", models)
}
