// Package peer holds the calls between the daemons of one fleet: their messages, and the client
// and network they go over.
//
// The messages are plain data; what follows from them is decided in controlplane and dataplane.
// JSON names are part of the wire between versions and stay as they are, short where a message is
// frequent. Start reading at WatchRequest and WatchResponse.
package peer

import (
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/keystore"
	"ferryspar/internal/retention"
)

// WatchRequest is a data plane's standing question to a control daemon: what it applies by now, so that
// the answer comes when there is more. MaxWaitMs is how long the answer may be held, in milliseconds.
type WatchRequest struct {
	Incarnation          string        `json:"life"`
	DataPlane            string        `json:"daemon"`
	Zone                 string        `json:"area"`
	Revision             int64         `json:"revision"`
	ZoneVersion          uint64        `json:"areaNumber"`
	RosterVersion        uint64        `json:"roster"`
	Primary              bool          `json:"wants"`
	MaxWaitMs            int64         `json:"holdMs"`
	Version              uint64        `json:"version"`
	ContextVersion       uint64        `json:"context,omitempty"`
	AppliedForget        uint64        `json:"forgot,omitempty"`
	Leaving              bool          `json:"leaving,omitempty"`
	SubscriptionSequence uint64        `json:"follows,omitempty"`
	Drill                *drill.Report `json:"drill,omitempty"`
	// Address is where the data plane answers other data planes; Neighbours is the mark of the list of these that it has.
	Address           string `json:"address,omitempty"`
	NeighboursVersion uint64 `json:"neighbours,omitempty"`
	// Proof asks that contact with a majority be proven by a question that begins after this poll
	// has come: a data plane without a configuration takes none on an earlier proof.
	Linearizable bool `json:"proof,omitempty"`
}

// ForgetOrder is an order to drop cached context.
type ForgetOrder struct {
	Number uint64          `json:"number"`
	Scope  retention.Scope `json:"scope"`
}

// ContextUpdate tells the bound on the life of cached context (MaxAgeMs, 0 for none) and the orders to
// forget, up to Number.
type ContextUpdate struct {
	Version  uint64        `json:"number"`
	MaxAgeMs int64         `json:"lifeMs"`
	Forgets  []ForgetOrder `json:"forgets,omitempty"`
}

// ZoneState is whether a zone is evacuated, and the number of the change that said so.
type ZoneState struct {
	Version uint64 `json:"number"`
	Drained bool   `json:"drained"`
}

// WatchResponse answers a WatchRequest. A data plane believes it only while it is fresh, see WatchResponse.Fresh. Packed is the
// configuration, sent only where it was asked for.
type WatchResponse struct {
	Member      string `json:"member"`
	Zone        string `json:"area"`
	Incarnation string `json:"life"`
	// FreshMs is how much longer the state counted as confirmed by a majority when the answer was
	// made; zero if it did not. WaitedMs is how long the poll had been held by then.
	FreshMs  int64 `json:"freshMs,omitempty"`
	WaitedMs int64 `json:"heldMs,omitempty"`
	// Proven says that the confirmation began after the poll had come.
	Linearizable        bool                   `json:"proven,omitempty"`
	Version             uint64                 `json:"version"`
	Revision            int64                  `json:"revision"`
	PackedConfiguration []byte                 `json:"packed,omitempty"`
	ZoneVersion         uint64                 `json:"areaNumber"`
	Zones               map[string]ZoneState   `json:"areas,omitempty"`
	RosterVersion       uint64                 `json:"roster"`
	RosterAgeMs         int64                  `json:"rosterAge"`
	EndpointSets        []EndpointSet          `json:"parts,omitempty"`
	Resubscribe         bool                   `json:"refollow,omitempty"`
	DataPlaneCount      int                    `json:"edges"`
	LeaseHolder         string                 `json:"holder"`
	ControlPlanes       []string               `json:"control"`
	Context             *ContextUpdate         `json:"context,omitempty"`
	Forecast            *drill.ForecastRequest `json:"question,omitempty"`
	Drill               *drill.Notice          `json:"drill,omitempty"`
	// CountedForMs is how long the data plane has been one of the Edges counted. Neighbours is sent where the data
	// plane has another list.
	CountedForMs int64 `json:"countedMs,omitempty"`
	// CountReliable says that no data plane can be missing from Edges because the control daemon started lately.
	CountReliable bool `json:"edgesSure,omitempty"`
	// Present is how many data planes were heard of by now, told sooner after a start than Edges.
	EarlyDataPlaneCount int         `json:"present,omitempty"`
	Neighbours          *Neighbours `json:"neighbours,omitempty"`
}

// Neighbours lists data planes that hold pools for tenants' limits. Equal lists have equal marks.
type Neighbours struct {
	Version uint64      `json:"mark"`
	List    []Neighbour `json:"list"`
}

// Neighbour is a data plane and the address at which it answers others.
type Neighbour struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// ModelLoad is the load of one model: requests waiting, arrived and running, the oldest wait, the
// aim and the reading time in milliseconds.
type ModelLoad struct {
	Backend         string  `json:"b"`
	Model           string  `json:"m"`
	Waiting         int     `json:"w,omitempty"`
	OldestWaitMs    float64 `json:"o,omitempty"`
	Arrivals        int     `json:"a,omitempty"`
	Running         int     `json:"r,omitempty"`
	LatencyTargetMs float64 `json:"t,omitempty"`
	PrefillMs       float64 `json:"d,omitempty"`
}

// Outcomes counts attempts that were served and that failed, fading with age.
type Outcomes struct {
	Served float64 `json:"y,omitempty"`
	Failed float64 `json:"x,omitempty"`
}

// ReplicaLoad is the load of one replica: running requests, their tokens, tokens still to be read,
// and how attempts ended. ZoneServed and ZoneFailed count those from the daemon's own zone.
type ReplicaLoad struct {
	Outcomes
	Running       int     `json:"r,omitempty"`
	Tokens        float64 `json:"k,omitempty"`
	PrefillTokens float64 `json:"p,omitempty"`
	Suspected     bool    `json:"s,omitempty"`
	ZoneServed    float64 `json:"v,omitempty"`
	ZoneFailed    float64 `json:"u,omitempty"`
}

// LoadReport is what a data plane tells its control daemon of its load.
type LoadReport struct {
	DataPlane string                 `json:"daemon"`
	Zone      string                 `json:"area"`
	Models    []ModelLoad            `json:"models,omitempty"`
	Replicas  map[string]ReplicaLoad `json:"replicas,omitempty"`
}

// FleetLoad answers a LoadReport with the sums of all other data planes.
type FleetLoad struct {
	Total    Outcomes               `json:"total,omitzero"`
	Replicas map[string]ReplicaLoad `json:"replicas,omitempty"`
}

// LoadSummary is what a control daemon tells the others of the data planes that report to it. Partial
// tells that only changed models are named. Batch is the number of the arrivals and reading times in
// Models within the sender's Life: they are sent again under it until they are known to be heard, and
// count once.
type LoadSummary struct {
	Member         string                  `json:"member"`
	DataPlaneCount int                     `json:"daemons"`
	Total          Outcomes                `json:"total,omitzero"`
	Replicas       map[string]ReplicaLoad  `json:"replicas,omitempty"`
	OutcomesByZone map[string]ZoneOutcomes `json:"near,omitempty"`
	Packed         *PackedLoads            `json:"dense,omitempty"`
	SuspectCounts  map[string]int          `json:"suspects,omitempty"`
	Models         []ModelLoad             `json:"models,omitempty"`
	IsDemand       bool                    `json:"demand,omitempty"`
	Partial        bool                    `json:"partial,omitempty"`
	Incarnation    string                  `json:"life,omitempty"`
	Batch          uint64                  `json:"batch,omitempty"`
}

// ZoneOutcomes holds outcomes by zone.
type ZoneOutcomes map[string]Outcomes

// PackedLoads packs sums of replicas as lists in the order of the list of replicas that Mark names.
// Tokens and Prefill are hundreds of tokens.
type PackedLoads struct {
	Version       uint64 `json:"m"`
	Running       []int  `json:"r,omitempty"`
	Tokens        []int  `json:"k,omitempty"`
	PrefillTokens []int  `json:"p,omitempty"`
}

// LoadSummaryReply answers a LoadSummary. Unknown asks for the sums by name, since the list that was named
// isn't known.
type LoadSummaryReply struct {
	UnknownVersion bool `json:"unknown,omitempty"`
}

// Rate is the demand for a model: requests a second, and tokens read a second.
type Rate struct {
	RequestsPerS float64 `json:"p"`
	PrefillLoad  float64 `json:"d,omitempty"`
}

// RosterUpdate shares the list of replicas with another member: all of it, or what changed since
// the list named Base.
type RosterUpdate struct {
	Member      string              `json:"member"`
	AgeMs       int64               `json:"ageMs"`
	Replicas    []discovery.Replica `json:"replicas"`
	Cordoned    []string            `json:"barred,omitempty"`
	BaseVersion string              `json:"base,omitempty"`
	Version     string              `json:"stamp"`
	Removed     []string            `json:"gone,omitempty"`
	Rates       map[string]Rate     `json:"rates,omitempty"`
	// Fence is that of the sender's lease; Number rises with each share of the sender's life. A
	// share that is not above the newest one heard was late on its way.
	Fence    uint64 `json:"fence"`
	Sequence uint64 `json:"number"`
}

// KeyUpdate tells another member of a committed key.
type KeyUpdate struct {
	Register keystore.Register `json:"slot"`
}

// Heartbeat is a heartbeat between control daemons.
type Heartbeat struct {
	NodeName          string   `json:"daemon"`
	Address           string   `json:"address"`
	Control           string   `json:"control"`
	Joining           bool     `json:"joining"`
	MembershipVersion uint64   `json:"number"`
	Leaving           bool     `json:"leaving"`
	DataPlanes        []string `json:"edges,omitempty"`
	Zone              string   `json:"zone,omitempty"`
	// Silent lists the members that the greeting daemon does not hear.
	Unreachable []string `json:"silent,omitempty"`
}
