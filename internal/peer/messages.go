// Package peer holds the calls between the daemons of one fleet: their messages, and the client
// and network they go over.
//
// The messages are plain data; what follows from them is decided in controlplane and dataplane.
// JSON names are part of the wire between versions and stay as they are, short where a message is
// frequent. Start reading at Poll and News.
package peer

import (
	"ferryspar/internal/drill"
	"ferryspar/internal/keystore"
	"ferryspar/internal/platform"
	"ferryspar/internal/retention"
)

// Poll is a data plane's standing question to a control daemon: what it applies by now, so that
// the answer comes when there is more. HoldMs is how long the answer may be held, in milliseconds.
type Poll struct {
	Life       string        `json:"life"`
	Daemon     string        `json:"daemon"`
	Zone       string        `json:"area"`
	Revision   int64         `json:"revision"`
	ZoneNumber uint64        `json:"areaNumber"`
	Roster     uint64        `json:"roster"`
	Wants      bool          `json:"wants"`
	HoldMs     int64         `json:"holdMs"`
	Version    uint64        `json:"version"`
	Context    uint64        `json:"context,omitempty"`
	Forgot     uint64        `json:"forgot,omitempty"`
	Leaving    bool          `json:"leaving,omitempty"`
	Follows    uint64        `json:"follows,omitempty"`
	Drill      *drill.Report `json:"drill,omitempty"`
	// Address is where the data plane answers other data planes; Neighbours is the mark of the list of these that it has.
	Address    string `json:"address,omitempty"`
	Neighbours uint64 `json:"neighbours,omitempty"`
	// Proof asks that contact with a majority be proven by a question that begins after this poll
	// has come: a data plane without a configuration takes none on an earlier proof.
	Proof bool `json:"proof,omitempty"`
}

// Forget is an order to drop cached context.
type Forget struct {
	Number uint64          `json:"number"`
	Scope  retention.Scope `json:"scope"`
}

// ContextNews tells the bound on the life of cached context (LifeMs, 0 for none) and the orders to
// forget, up to Number.
type ContextNews struct {
	Number  uint64   `json:"number"`
	LifeMs  int64    `json:"lifeMs"`
	Forgets []Forget `json:"forgets,omitempty"`
}

// ZoneState is whether a zone is evacuated, and the number of the change that said so.
type ZoneState struct {
	Number  uint64 `json:"number"`
	Drained bool   `json:"drained"`
}

// News answers a Poll. A data plane believes it only while it is fresh, see News.Fresh. Packed is the
// configuration, sent only where it was asked for.
type News struct {
	Member string `json:"member"`
	Zone   string `json:"area"`
	Life   string `json:"life"`
	// FreshMs is how much longer the state counted as confirmed by a majority when the answer was
	// made; zero if it did not. HeldMs is how long the poll had been held by then.
	FreshMs int64 `json:"freshMs,omitempty"`
	HeldMs  int64 `json:"heldMs,omitempty"`
	// Proven says that the confirmation began after the poll had come.
	Proven     bool                 `json:"proven,omitempty"`
	Version    uint64               `json:"version"`
	Revision   int64                `json:"revision"`
	Packed     []byte               `json:"packed,omitempty"`
	ZoneNumber uint64               `json:"areaNumber"`
	Zones      map[string]ZoneState `json:"areas,omitempty"`
	Roster     uint64               `json:"roster"`
	RosterAge  int64                `json:"rosterAge"`
	Parts      []Part               `json:"parts,omitempty"`
	Refollow   bool                 `json:"refollow,omitempty"`
	Edges      int                  `json:"edges"`
	Holder     string               `json:"holder"`
	Control    []string             `json:"control"`
	Context    *ContextNews         `json:"context,omitempty"`
	Question   *drill.Question      `json:"question,omitempty"`
	Drill      *drill.Notice        `json:"drill,omitempty"`
	// CountedMs is how long the data plane has been one of the Edges counted. Neighbours is sent where the data
	// plane has another list.
	CountedMs int64 `json:"countedMs,omitempty"`
	// EdgesSure says that no data plane can be missing from Edges because the control daemon started lately.
	EdgesSure bool `json:"edgesSure,omitempty"`
	// Present is how many data planes were heard of by now, told sooner after a start than Edges.
	Present    int         `json:"present,omitempty"`
	Neighbours *Neighbours `json:"neighbours,omitempty"`
}

// Neighbours lists data planes that hold pools for tenants' limits. Equal lists have equal marks.
type Neighbours struct {
	Mark uint64      `json:"mark"`
	List []Neighbour `json:"list"`
}

// Neighbour is a data plane and the address at which it answers others.
type Neighbour struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// ModelLoad is the load of one model: requests waiting, arrived and running, the oldest wait, the
// aim and the reading time in milliseconds.
type ModelLoad struct {
	Backend  string  `json:"b"`
	Model    string  `json:"m"`
	Waiting  int     `json:"w,omitempty"`
	OldestMs float64 `json:"o,omitempty"`
	Arrivals int     `json:"a,omitempty"`
	Running  int     `json:"r,omitempty"`
	Aim      float64 `json:"t,omitempty"`
	ReadMs   float64 `json:"d,omitempty"`
}

// Outcomes counts attempts that were served and that failed, fading with age.
type Outcomes struct {
	Served float64 `json:"y,omitempty"`
	Failed float64 `json:"x,omitempty"`
}

// ReplicaLoad is the load of one replica: running requests, their tokens, tokens still to be read,
// and how attempts ended. NearServed and NearFailed count those from the daemon's own zone.
type ReplicaLoad struct {
	Outcomes
	Running    int     `json:"r,omitempty"`
	Tokens     float64 `json:"k,omitempty"`
	Prefill    float64 `json:"p,omitempty"`
	Suspect    bool    `json:"s,omitempty"`
	NearServed float64 `json:"v,omitempty"`
	NearFailed float64 `json:"u,omitempty"`
}

// LoadReport is what a data plane tells its control daemon of its load.
type LoadReport struct {
	Daemon   string                 `json:"daemon"`
	Zone     string                 `json:"area"`
	Models   []ModelLoad            `json:"models,omitempty"`
	Replicas map[string]ReplicaLoad `json:"replicas,omitempty"`
}

// FleetLoad answers a LoadReport with the sums of all other data planes.
type FleetLoad struct {
	Total    Outcomes               `json:"total,omitzero"`
	Replicas map[string]ReplicaLoad `json:"replicas,omitempty"`
}

// LoadSum is what a control daemon tells the others of the data planes that report to it. Partial
// tells that only changed models are named. Batch is the number of the arrivals and reading times in
// Models within the sender's Life: they are sent again under it until they are known to be heard, and
// count once.
type LoadSum struct {
	Member   string                  `json:"member"`
	Daemons  int                     `json:"daemons"`
	Total    Outcomes                `json:"total,omitzero"`
	Replicas map[string]ReplicaLoad  `json:"replicas,omitempty"`
	Near     map[string]ZoneOutcomes `json:"near,omitempty"`
	Dense    *DenseSums              `json:"dense,omitempty"`
	Suspects map[string]int          `json:"suspects,omitempty"`
	Models   []ModelLoad             `json:"models,omitempty"`
	Demand   bool                    `json:"demand,omitempty"`
	Partial  bool                    `json:"partial,omitempty"`
	Life     string                  `json:"life,omitempty"`
	Batch    uint64                  `json:"batch,omitempty"`
}

// ZoneOutcomes holds outcomes by zone.
type ZoneOutcomes map[string]Outcomes

// DenseSums packs sums of replicas as lists in the order of the list of replicas that Mark names.
// Tokens and Prefill are hundreds of tokens.
type DenseSums struct {
	Mark    uint64 `json:"m"`
	Running []int  `json:"r,omitempty"`
	Tokens  []int  `json:"k,omitempty"`
	Prefill []int  `json:"p,omitempty"`
}

// LoadSumReply answers a LoadSum. Unknown asks for the sums by name, since the list that was named
// isn't known.
type LoadSumReply struct {
	Unknown bool `json:"unknown,omitempty"`
}

// Rate is the demand for a model: requests a second, and tokens read a second.
type Rate struct {
	PerS    float64 `json:"p"`
	Reading float64 `json:"d,omitempty"`
}

// RosterShare shares the list of replicas with another member: all of it, or what changed since
// the list named Base.
type RosterShare struct {
	Member   string             `json:"member"`
	AgeMs    int64              `json:"ageMs"`
	Replicas []platform.Replica `json:"replicas"`
	Barred   []string           `json:"barred,omitempty"`
	Base     string             `json:"base,omitempty"`
	Stamp    string             `json:"stamp"`
	Gone     []string           `json:"gone,omitempty"`
	Rates    map[string]Rate    `json:"rates,omitempty"`
	// Fence is that of the sender's lease; Number rises with each share of the sender's life. A
	// share that is not above the newest one heard was late on its way.
	Fence  uint64 `json:"fence"`
	Number uint64 `json:"number"`
}

// KeyUpdate tells another member of a committed key.
type KeyUpdate struct {
	Slot keystore.Register `json:"slot"`
}

// Greeting is a heartbeat between control daemons.
type Greeting struct {
	Daemon  string   `json:"daemon"`
	Address string   `json:"address"`
	Control string   `json:"control"`
	Joining bool     `json:"joining"`
	Number  uint64   `json:"number"`
	Leaving bool     `json:"leaving"`
	Edges   []string `json:"edges,omitempty"`
	Zone    string   `json:"zone,omitempty"`
	// Silent lists the members that the greeting daemon does not hear.
	Silent []string `json:"silent,omitempty"`
}
