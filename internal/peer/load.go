package peer

import "ferryspar/internal/usage"

// LoadReport is the load that a data plane reports to its control plane.
type LoadReport struct {
	DataPlane string      `json:"daemon"`
	Zone      string      `json:"area"`
	Models    []ModelLoad `json:"models,omitempty"`
	// Replicas holds the data plane's own load on replicas by their id.
	Replicas map[string]ReplicaLoad `json:"replicas,omitempty"`
	// Endpoints is the digest of the ids of the replicas that the data plane knows, ordered by id, see ReplicaIDs. The reply
	// is packed if the receiver takes the data plane to know the same ones.
	Endpoints uint64 `json:"endpoints,omitempty"`
	// Usage holds the counts of tenants' requests that the receiver is not known to have.
	Usage []usage.Entry `json:"usage,omitempty"`
}

// ModelLoad is the demand for one model.
type ModelLoad struct {
	Backend string `json:"b"`
	Model   string `json:"m"`
	// Waiting and Running count requests now; OldestWaitMs is how long, in milliseconds, the oldest has waited.
	Waiting      int     `json:"w,omitempty"`
	OldestWaitMs float64 `json:"o,omitempty"`
	// Arrivals counts the requests that arrived since the last report.
	Arrivals int `json:"a,omitempty"`
	Running  int `json:"r,omitempty"`
	// LatencyTargetMs is the latency target, in milliseconds, of the last request for the model.
	LatencyTargetMs float64 `json:"t,omitempty"`
	// PrefillMs is the time, in milliseconds, that replicas spent on prompts of the model since the last report.
	PrefillMs float64 `json:"d,omitempty"`
}

// Outcomes counts attempts that were served and that failed. Older ones count for less.
type Outcomes struct {
	Served float64 `json:"y,omitempty"`
	Failed float64 `json:"x,omitempty"`
}

// ReplicaLoad is the load on one replica and how attempts there ended.
type ReplicaLoad struct {
	Outcomes
	// Running counts requests, Tokens the tokens that they take up, PrefillTokens those of them still to be read.
	Running       int     `json:"r,omitempty"`
	Tokens        float64 `json:"k,omitempty"`
	PrefillTokens float64 `json:"p,omitempty"`
	// Suspected says that the reporting data plane suspects the replica of having failed.
	Suspected bool `json:"s,omitempty"`
	// ZoneServed and ZoneFailed count the outcomes at data planes of the receiver's zone.
	ZoneServed float64 `json:"v,omitempty"`
	ZoneFailed float64 `json:"u,omitempty"`
}

// FleetLoad answers a LoadReport with the load of all other data planes.
type FleetLoad struct {
	Total Outcomes `json:"total,omitzero"`
	// Replicas holds the replicas that the data plane has subscribed to, by id.
	Replicas map[string]ReplicaLoad `json:"replicas,omitempty"`
	// Packed, if set, holds the numbers of Replicas in a shorter form; Replicas holds just outcomes then.
	Packed *PackedLoads `json:"dense,omitempty"`
	// Receiver is the incarnation that has taken in the report's Usage.
	Receiver string `json:"receiver,omitempty"`
	// TimeOfDayUs is the time of day on which the control planes agree, in microseconds since 1970, 0 if it is not known yet.
	TimeOfDayUs int64 `json:"wallUs,omitempty"`
}

// LoadSummary is what a control plane sends the others about the data planes that report to it: the load on replicas, and
// to the placement lease's holder the demand for models (HasDemand), in a message of its own or with the load.
type LoadSummary struct {
	// Member is the sender's address, DataPlaneCount how many data planes report to it.
	Member         string `json:"member"`
	DataPlaneCount int    `json:"daemons"`

	Total    Outcomes               `json:"total,omitzero"`
	Replicas map[string]ReplicaLoad `json:"replicas,omitempty"`
	// OutcomesByZone holds, by the zone of the data planes, the outcomes at replicas that had failures.
	OutcomesByZone map[string]ZoneOutcomes `json:"near,omitempty"`
	// Packed, if set, holds the numbers of Replicas in a shorter form; Replicas holds just outcomes then.
	Packed *PackedLoads `json:"dense,omitempty"`

	// SuspectCounts is how many data planes suspect each replica.
	SuspectCounts map[string]int `json:"suspects,omitempty"`
	Models        []ModelLoad    `json:"models,omitempty"`
	HasDemand     bool           `json:"demand,omitempty"`
	// Partial says that Models holds only some models; the others stay as they were reported last.
	Partial bool `json:"partial,omitempty"`
	// Batch numbers the arrivals and prefill times in Models within the sender's Incarnation. They are sent again under
	// the same number until they are known to have been received, and must be counted once.
	Incarnation string `json:"life,omitempty"`
	Batch       uint64 `json:"batch,omitempty"`
	// Usage holds the counts of tenants' requests that the receiver is not known to have.
	Usage []usage.Entry `json:"usage,omitempty"`
}

// WithDemand returns a summary of load with the demand of another one.
func (s LoadSummary) WithDemand(demand LoadSummary) LoadSummary {
	s.SuspectCounts, s.Models = demand.SuspectCounts, demand.Models
	s.HasDemand, s.Partial = demand.HasDemand, demand.Partial
	s.Incarnation, s.Batch = demand.Incarnation, demand.Batch
	s.Usage = demand.Usage
	return s
}

// HasLoad says whether the summary tells the load on replicas.
func (s LoadSummary) HasLoad() bool { return s.Replicas != nil || s.Packed != nil }

// ZoneOutcomes holds the outcomes of one zone's data planes by replica id.
type ZoneOutcomes map[string]Outcomes

// LoadSummaryReply answers a LoadSummary.
type LoadSummaryReply struct {
	// UnknownVersion says that the receiver has no roster of the version in PackedLoads and took nothing in; it asks
	// for summaries that aren't packed.
	UnknownVersion bool `json:"unknown,omitempty"`
	// Receiver is the incarnation that has taken in the summary's Usage.
	Receiver string `json:"receiver,omitempty"`
}
