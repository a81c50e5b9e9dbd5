package placement

import (
	"strings"
	"time"

	"ferryspar/internal/configuration"
)

// Demand is what all data planes together ask for of one model or adapter.
type Demand struct {
	Waiting         int       // requests without a copy or a free slot
	OldestWaitMs    float64   // how long the oldest of them has waited
	Rate            float64   // requests a second, averaged over seconds
	LongTermRate    float64   // requests a second, averaged over minutes
	Running         float64   // requests at replicas
	PrefillLoad     float64   // seconds of reading prompts in each second: replicas kept busy by it
	LastSeen        time.Time // last request
	LatencyTargetMs float64   // of the route, ms; 0 for none
}

// Server is a replica as the placement sees it. Plan changes Intent only.
//
// Models is what the replica surely holds: copies are counted and unloaded by it, and an adapter is
// only loaded beside a model of it. Models and MaybeLoaded together are all that the replica may hold:
// room and places of adapters are judged by them.
type Server struct {
	ID          string
	Backend     string
	Zone        string
	Draining    bool
	Lost        bool            // suspected by so many data planes that its copies do not count
	Ready       bool            // its state is known and no load or unload is under way
	Loaded      map[string]bool // references surely loaded now
	MaybeLoaded map[string]bool // references that may be loaded besides: of orders under way or of unknown fate
	OnDisk      map[string]bool // references on its own disk, loaded without the store
	Intent      string          // the model for which room is being made, or empty
}

// View is what a plan is made from. Plan takes from Tokens, adds to Loading, keeps Sizes and sets
// Catalog, ContextEvictionInProgress and the servers' intents; the rest it leaves alone. Demand and Loading go by ModelKey.
type View struct {
	Now                       time.Time
	Table                     *configuration.Table // nil before the first configuration: nothing is planned
	Catalog                   *Catalog             // of Table; made by Plan where it is of another one
	SizeHistory               *SizeHistory         // goes from plan to plan; nil remembers nothing
	Servers                   []*Server
	Demand                    map[string]*Demand
	Loading                   map[string]int  // loads under way; where MaybeLoaded is used it names them too
	StoreTokens               float64         // loads from the store that the rate allows now
	DrainedZones              map[string]bool // evacuated zones
	ContextEvictions          []ServerModel   // copies whose cached context must be evicted, in order
	DemandKnown               bool            // the demand has been watched long enough to unload by it
	ContextEvictionInProgress bool            // one of ContextEvictions is under way
}

// ServerModel is the copy of a model at a server.
type ServerModel struct {
	Server string // id
	Model  string
}

// Action is one load or unload at a server.
type Action struct {
	Server    string // id
	Load      bool   // or else unload
	Model     string // reference of the model or adapter
	FromStore bool   // the load comes from the store, not from the server's disk
	Intent    string // the model that an unload makes room for
	Reason    string // for logs and forecasts
}

// Reference names an adapter of a model as model/adapter, or the model itself for no adapter.
func Reference(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

func splitReference(reference string) (model, adapter string) {
	model, adapter, _ = strings.Cut(reference, "/")
	return model, adapter
}

// ModelKey names a reference of a backend in View.Demand and View.Loading.
func ModelKey(backend, reference string) string { return backend + " " + reference }

// SplitModelKey is the backend and the reference of a ModelKey.
func SplitModelKey(name string) (backend, reference string) {
	backend, reference, _ = strings.Cut(name, " ")
	return backend, reference
}

// counts reports whether the server's copies count as copies.
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
	if other.LastSeen.After(d.LastSeen) {
		d.LastSeen = other.LastSeen
	}
}
