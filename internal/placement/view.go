package placement

import (
	"time"

	"ferryspar/internal/configuration"
)

// Demand is what all data planes together ask for of one model or adapter.
type Demand struct {
	Waiting         int       // requests without a copy or a free slot
	OldestWaitMs    float64   // how long the oldest of them has waited, in ms
	Rate            float64   // requests per second, averaged over seconds
	LongTermRate    float64   // requests per second, averaged over minutes
	Running         float64   // requests at replicas
	PrefillLoad     float64   // seconds of prefill per second, i.e. replicas kept busy by it
	LastRequestAt   time.Time // arrival of the last request
	LatencyTargetMs float64   // of the route; 0 for none
}

// Server is a replica as seen by the placement. Plan changes Intent only.
//
// Loaded is a lower bound of what the replica has in memory: copies are counted and unloaded by it, and
// an adapter is only loaded beside a model in it. Loaded and MaybeLoaded together are the upper bound:
// memory and adapter slots are judged by them, so that no load can exceed the replica's memory whatever
// became of the orders whose outcome is unknown.
//
// OnDisk is what this incarnation of the replica was itself seen to have loaded. What an earlier incarnation at the
// same address had loaded may be there or not, so a load of it counts as one from the model store until it has proven
// otherwise: were it believed, many replicas replaced at once would exceed the rate of the store.
type Server struct {
	ID          string
	Backend     string
	Zone        string
	Draining    bool
	Lost        bool            // suspected by so many data planes that its copies do not count
	Ready       bool            // its state is known and no load or unload is in progress
	Loaded      map[string]bool // references certainly loaded
	MaybeLoaded map[string]bool // further references that may be loaded: orders in progress or of unknown outcome
	OnDisk      map[string]bool // references surely on its own disk, loaded without the model store
	MaybeOnDisk map[string]bool // further references that an earlier incarnation at its address had loaded
	Intent      string          // the model for which memory is being freed, or empty
}

// View is the input of a plan. Plan takes from StoreTokens and SpareStoreTokens, adds to Loading, updates SizeHistory and
// sets Catalog, ContextEvictionInProgress and the servers' intents; it changes nothing else. Demand and
// Loading are indexed by ModelKey.
type View struct {
	Now                       time.Time
	Table                     *configuration.Table // nil before the first configuration: nothing is planned
	Catalog                   *Catalog             // of Table; replaced by Plan if it belongs to another table
	SizeHistory               *SizeHistory         // passed from plan to plan; nil remembers nothing
	Servers                   []*Server
	Demand                    map[string]*Demand
	Loading                   map[string]int  // loads in progress, those in MaybeLoaded included
	StoreTokens               float64         // loads that the model store allows now
	SpareStoreTokens          float64         // of those, loads that no request needs to wait for
	DrainedZones              map[string]bool // evacuated zones
	ContextEvictions          []ModelCopy     // copies whose cached context must be evicted, in order
	DemandKnown               bool            // the demand has been observed long enough to unload by it
	ContextEvictionInProgress bool            // one of ContextEvictions has been ordered and not finished
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
	FromStore     bool   // the load takes a token of the model store: it is not surely from the server's disk
	MaybeFromDisk bool   // a load that takes a token may come from the server's disk after all
	Intent        string // the model that an unload makes room for
	Reason        string // for logs and forecasts
}

// isServing reports whether the server's copies count: it neither drains nor is lost, and its zone is
// not evacuated.
func (s *Server) isServing(v *View) bool { return !s.Draining && !s.Lost && !v.DrainedZones[s.Zone] }

// add makes the demand the sum of both.
func (d *Demand) add(other *Demand) {
	d.Waiting += other.Waiting
	d.OldestWaitMs = max(d.OldestWaitMs, other.OldestWaitMs)
	d.Rate += other.Rate
	d.LongTermRate += other.LongTermRate
	d.Running += other.Running
	d.PrefillLoad += other.PrefillLoad
	d.LatencyTargetMs = max(d.LatencyTargetMs, other.LatencyTargetMs)
	if other.LastRequestAt.After(d.LastRequestAt) {
		d.LastRequestAt = other.LastRequestAt
	}
}
