package peer

import "ferryspar/internal/usage"

// LoadReport is the load that a data plane reports to its control plane.
type LoadReport struct {
	DataPlane string      `json:"daemon"`
	Zone      string      `json:"area"`
	Models    []ModelLoad `json:"models,omitempty"`
	// Replicas holds the data plane's own load on replicas, by replica id.
	Replicas map[string]ReplicaLoad `json:"replicas,omitempty"`
	// Endpoints is the digest of the ids of the replicas known to the data plane, sorted by id (see ReplicaIDs). The reply is
	// packed if it equals the digest of the receiver's list for the data plane.
	Endpoints uint64 `json:"endpoints,omitempty"`
	// Usage holds request counts of tenants that the receiver has not acknowledged.
	Usage []usage.Entry `json:"usage,omitempty"`
}

// ModelLoad is the demand for one model.
type ModelLoad struct {
	Backend string `json:"b"`
	Model   string `json:"m"`
	// Waiting and Running are the current numbers of requests; OldestWaitMs is how long, in milliseconds, the oldest has
	// waited.
	Waiting      int     `json:"w,omitempty"`
	OldestWaitMs float64 `json:"o,omitempty"`
	// Arrivals is the number of requests that arrived since the last report.
	Arrivals int `json:"a,omitempty"`
	Running  int `json:"r,omitempty"`
	// LoadDueMs is the time, in milliseconds, within which the model must be loaded for the most urgent of the waiting requests, of
	// those for which a load that begins now is in time; 0 if there are none.
	LoadDueMs float64 `json:"l,omitempty"`
	// PrefillMs is the prefill time, in milliseconds, that replicas spent on the model since the last report.
	PrefillMs float64 `json:"d,omitempty"`
}

// EarlierLoadDue returns the earlier of two values of ModelLoad.LoadDueMs.
func EarlierLoadDue(leftMs, rightMs float64) float64 {
	if leftMs == 0 || rightMs == 0 {
		return max(leftMs, rightMs)
	}
	return min(leftMs, rightMs)
}

// Outcomes holds decayed counts of attempts that succeeded and that failed.
type Outcomes struct {
	Served float64 `json:"y,omitempty"`
	Failed float64 `json:"x,omitempty"`
}

// ReplicaLoad is the load on one replica and the outcomes of attempts on it.
type ReplicaLoad struct {
	Outcomes
	// Running is the number of requests, Tokens the tokens that they occupy, PrefillTokens those not yet prefilled.
	Running       int     `json:"r,omitempty"`
	Tokens        float64 `json:"k,omitempty"`
	PrefillTokens float64 `json:"p,omitempty"`
	// Suspected is set if the reporting data plane suspects that the replica has failed.
	Suspected bool `json:"s,omitempty"`
	// ZoneServed and ZoneFailed are the outcomes reported by data planes in the receiver's zone.
	ZoneServed float64 `json:"v,omitempty"`
	ZoneFailed float64 `json:"u,omitempty"`
}

// FleetLoad answers a LoadReport with the load of all other data planes.
type FleetLoad struct {
	Total Outcomes `json:"total,omitzero"`
	// Replicas holds the load on the replicas that the data plane has subscribed to, by id.
	Replicas map[string]ReplicaLoad `json:"replicas,omitempty"`
	// Packed, if set, holds the load numbers in a compact encoding; Replicas then holds only outcomes.
	Packed *PackedLoads `json:"dense,omitempty"`
	// Receiver is the incarnation that has recorded the report's Usage.
	Receiver string `json:"receiver,omitempty"`
	// TimeOfDayUs is the control planes' agreed wall-clock time in microseconds since 1970, or 0 if it is not known yet.
	TimeOfDayUs int64 `json:"wallUs,omitempty"`
}

// LoadSummary is sent by a control plane to the others and aggregates the reports of its data planes. It holds the load on
// replicas (HasLoad), the demand for models (HasDemand), or both. Demand is sent only to the placement lease holder.
type LoadSummary struct {
	// Member is the sender's address, DataPlaneCount the number of data planes that report to it.
	Member         string `json:"member"`
	DataPlaneCount int    `json:"daemons"`

	Total    Outcomes               `json:"total,omitzero"`
	Replicas map[string]ReplicaLoad `json:"replicas,omitempty"`
	// OutcomesByZone holds the outcomes of replicas that had failures, by the zone of the reporting data planes.
	OutcomesByZone map[string]ZoneOutcomes `json:"near,omitempty"`
	// Packed, if set, holds the load numbers in a compact encoding; Replicas then holds only outcomes.
	Packed *PackedLoads `json:"dense,omitempty"`

	// SuspectCounts is the number of data planes that suspect each replica.
	SuspectCounts map[string]int `json:"suspects,omitempty"`
	Models        []ModelLoad    `json:"models,omitempty"`
	HasDemand     bool           `json:"demand,omitempty"`
	// Partial is set if Models omits models whose last reported demand still applies.
	Partial bool `json:"partial,omitempty"`
	// Batch is the sequence number, within the sender's Incarnation, of the arrivals and prefill times in Models. They are
	// resent under the same number until acknowledged; the receiver must count them once.
	Incarnation string `json:"life,omitempty"`
	Batch       uint64 `json:"batch,omitempty"`
	// Usage holds request counts of tenants that the receiver has not acknowledged.
	Usage []usage.Entry `json:"usage,omitempty"`
}

// WithDemand returns the summary with the demand of another one.
func (s LoadSummary) WithDemand(demand LoadSummary) LoadSummary {
	s.SuspectCounts, s.Models = demand.SuspectCounts, demand.Models
	s.HasDemand, s.Partial = demand.HasDemand, demand.Partial
	s.Incarnation, s.Batch = demand.Incarnation, demand.Batch
	s.Usage = demand.Usage
	return s
}

// HasLoad reports whether the summary contains the load on replicas.
func (s LoadSummary) HasLoad() bool { return s.Replicas != nil || s.Packed != nil }

// ZoneOutcomes holds the outcomes reported by the data planes of one zone, by replica id.
type ZoneOutcomes map[string]Outcomes

// LoadSummaryReply answers a LoadSummary.
type LoadSummaryReply struct {
	// UnknownVersion is set if the receiver has no roster of the version in PackedLoads. It has ignored the summary and
	// requests unpacked summaries.
	UnknownVersion bool `json:"unknown,omitempty"`
	// Receiver is the incarnation that has recorded the summary's Usage.
	Receiver string `json:"receiver,omitempty"`
}
