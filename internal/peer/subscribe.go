package peer

import (
	"time"

	"ferryspar/internal/discovery"
)

// EndpointKey identifies an endpoint set: the replicas of a model, or all replicas of the backend if Model is empty.
type EndpointKey struct {
	Backend string `json:"b"`
	Model   string `json:"m,omitempty"`
}

// EndpointSet holds the replicas that serve a key, at a version of the roster. For all replicas of a large backend it holds
// only a sample.
type EndpointSet struct {
	EndpointKey
	Version   uint64     `json:"v"`
	Endpoints []Endpoint `json:"h,omitempty"`
}

// Endpoint is a replica in an endpoint set.
type Endpoint struct {
	ID       string `json:"i"`
	Address  string `json:"a"`
	Zone     string `json:"z"`
	Slots    int    `json:"s"`
	Draining bool   `json:"d,omitempty"`
	// Phase is the generation phase that the replica executes; empty if replicas execute both.
	Phase discovery.Phase `json:"q,omitempty"`
	// WarmUpRemainingMs is the remaining warm-up time in milliseconds, or zero if the replica is warm.
	WarmUpRemainingMs float64 `json:"c,omitempty"`
	// Adapters lists the loaded adapters of the set's model.
	Adapters []string `json:"l,omitempty"`
}

// SubscribeRequest changes the endpoint sets that a data plane watches. With Reset, Add replaces all subscriptions;
// otherwise Sequence must be one above that of the previous request, so that a lost request is detected.
type SubscribeRequest struct {
	DataPlane string        `json:"daemon"`
	Sequence  uint64        `json:"number"`
	Reset     bool          `json:"whole,omitempty"`
	Add       []EndpointKey `json:"add,omitempty"`
	Remove    []EndpointKey `json:"drop,omitempty"`
}

// SubscribeResponse answers a SubscribeRequest with the added sets. A data plane may use it only while IsFresh.
type SubscribeResponse struct {
	// Incarnation identifies the control plane's process.
	Incarnation string `json:"life"`
	// FreshMs is the remaining confirmation lease, in milliseconds, when the response was created; zero if it had expired.
	FreshMs int64 `json:"freshMs,omitempty"`
	// Resubscribe asks the data plane to resend all its subscriptions, with Reset.
	Resubscribe bool `json:"refollow,omitempty"`
	// RosterVersion is the roster version of EndpointSets, RosterAgeMs the age of that roster in milliseconds.
	RosterVersion uint64        `json:"roster"`
	RosterAgeMs   int64         `json:"rosterAge"`
	EndpointSets  []EndpointSet `json:"parts,omitempty"`
	// Loads holds the load of the other data planes on the replicas of EndpointSets, by id. Without it the data plane would
	// consider them idle until its next load report is answered.
	Loads map[string]ReplicaLoad `json:"loads,omitempty"`
}

// IsFresh reports whether the confirmation lease of the endpoint sets is still valid; see WatchResponse.IsFresh.
func (r SubscribeResponse) IsFresh(sentAt, now time.Time) bool {
	return isFresh(sentAt, r.FreshMs, r.FreshMs, now)
}
