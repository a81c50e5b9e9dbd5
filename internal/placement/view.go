package placement

import (
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/peer"
)

// Demand is the demand for one model or adapter, summed over all data planes.
type Demand struct {
	Waiting       int       // requests that wait for a copy or a free slot
	OldestWaitMs  float64   // wait of the oldest of them, in ms
	Rate          float64   // requests per second, averaged over seconds
	LongTermRate  float64   // requests per second, averaged over minutes
	Running       float64   // requests running at replicas
	PrefillLoad   float64   // seconds of prefill per second, i.e. the number of replicas that prefill keeps busy
	LastRequestAt time.Time // arrival of the last request
	LoadDueMs     float64   // see peer.ModelLoad
}

// Server is a replica as seen by the planner. Plan changes Intent only.
//
// Loaded is a lower bound of what the replica has in memory: copies are counted and unloaded by it, and an adapter is
// loaded only where it includes the adapter's model. Loaded and MaybeLoaded together are an upper bound: memory and
// adapter slots are accounted by it, so that no load can exceed the replica's memory, whatever the outcome of orders
// that were not clearly answered.
//
// OnDisk is what this incarnation of the replica has been seen to load. What an earlier incarnation at the same address
// had loaded may still be on the disk, or the disk may have been replaced. A load of it therefore counts against the rate
// of the model store until it has proven to come from the disk. Otherwise the loads of many replicas that are replaced at
// once would exceed that rate.
type Server struct {
	ID          string
	Backend     string
	Zone        string
	Draining    bool
	Suspected   bool            // of a failure, by enough data planes that its copies do not count
	Ready       bool            // its state is known and no load or unload is in progress
	Loaded      map[string]bool // references that are certainly loaded
	MaybeLoaded map[string]bool // further references that may be loaded: orders in progress or of unknown outcome
	OnDisk      map[string]bool // references that are certainly on its own disk and load without the model store
	MaybeOnDisk map[string]bool // further references that an earlier incarnation at the same address had loaded
	Intent      string          // the model for which memory is being freed, or empty
}

// View is the input of a plan. Plan deducts from StoreTokens and SpareStoreTokens, adds to Loading, updates SizeHistory,
// and sets Catalog, ContextEvictionInProgress and the servers' intents. It changes nothing else. Demand and Loading are
// indexed by ModelKey.
type View struct {
	Now                       time.Time
	Table                     *configuration.Table // nil before the first configuration: nothing is planned
	Catalog                   *Catalog             // built from Table; Plan replaces it if it was built from another table
	SizeHistory               *SizeHistory         // carried over from plan to plan; nil records nothing
	Servers                   []*Server
	Demand                    map[string]*Demand
	Loading                   map[string]int  // loads in progress, including those in MaybeLoaded
	StoreTokens               float64         // loads that the model store allows now
	SpareStoreTokens          float64         // of those, loads that may be used for models that no request waits for
	DrainedZones              map[string]bool // evacuated zones
	ContextEvictions          []ModelCopy     // copies whose cached context must be evicted, the first to be evicted first
	DemandKnown               bool            // the demand has been observed for long enough to decide unloads
	ContextEvictionInProgress bool            // one of ContextEvictions has been ordered and has not finished
}

// ModelCopy is the copy of a model at a server.
type ModelCopy struct {
	Server string // id
	Model  string
}

// Action is one load or unload at a server.
type Action struct {
	Server        string // id
	Load          bool   // false for an unload
	Model         string // reference of the model or adapter
	FromStore     bool   // the load takes a token of the model store, since the model is not certainly on the server's disk
	MaybeFromDisk bool   // a load with FromStore may nevertheless come from the server's disk
	Intent        string // the model for which an unload frees memory
	Reason        string // for logs and forecasts
}

// isServing reports whether the server's copies count: it is neither draining nor suspected, and its zone is not evacuated.
func (s *Server) isServing(v *View) bool {
	return !s.Draining && !s.Suspected && !v.DrainedZones[s.Zone]
}

// add merges another demand into d: counts and rates are summed, and of ages, targets and times the highest is kept.
func (d *Demand) add(other *Demand) {
	d.Waiting += other.Waiting
	d.OldestWaitMs = max(d.OldestWaitMs, other.OldestWaitMs)
	d.Rate += other.Rate
	d.LongTermRate += other.LongTermRate
	d.Running += other.Running
	d.PrefillLoad += other.PrefillLoad
	d.LoadDueMs = peer.EarlierLoadDue(d.LoadDueMs, other.LoadDueMs)
	if other.LastRequestAt.After(d.LastRequestAt) {
		d.LastRequestAt = other.LastRequestAt
	}
}
