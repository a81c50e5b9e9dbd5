package peer

import (
	"time"

	"ferryspar/internal/discovery"
)

// EndpointKey names an endpoint set: a model of a backend, or all replicas of the backend where Model is empty.
type EndpointKey struct {
	Backend string `json:"b"`
	Model   string `json:"m,omitempty"`
}

// EndpointSet is the replicas that serve a key, at a version of the roster. The set of a large backend as a whole is a
// sample of its replicas.
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
	// Phase is the part of a generation that the replica does; empty where replicas do both.
	Phase discovery.Phase `json:"q,omitempty"`
	// WarmUpRemainingMs is how much longer, in milliseconds, the replica warms up; zero if it doesn't.
	WarmUpRemainingMs float64 `json:"c,omitempty"`
	// Adapters are the adapters of the set's model that the replica has loaded.
	Adapters []string `json:"l,omitempty"`
}

// SubscribeRequest changes which endpoint sets a data plane watches. With Reset, Add is all of them; otherwise Sequence
// must be one more than that of the last request, so that a lost one is noticed.
type SubscribeRequest struct {
	DataPlane string        `json:"daemon"`
	Sequence  uint64        `json:"number"`
	Reset     bool          `json:"whole,omitempty"`
	Add       []EndpointKey `json:"add,omitempty"`
	Remove    []EndpointKey `json:"drop,omitempty"`
}

// SubscribeResponse answers a SubscribeRequest with the sets that were added. A data plane may rely on it only while it
// is fresh, see IsFresh.
type SubscribeResponse struct {
	// Incarnation is that of the control plane's process.
	Incarnation string `json:"life"`
	// FreshMs is how much longer, in milliseconds, the state counted as confirmed when the response was made.
	FreshMs int64 `json:"freshMs,omitempty"`
	// Resubscribe asks the data plane to send all its subscriptions anew, with Reset.
	Resubscribe bool `json:"refollow,omitempty"`
	// RosterVersion is that of EndpointSets; RosterAgeMs is how old, in milliseconds, the list of replicas is that they
	// come from.
	RosterVersion uint64        `json:"roster"`
	RosterAgeMs   int64         `json:"rosterAge"`
	EndpointSets  []EndpointSet `json:"parts,omitempty"`
	// Loads holds the load of the other data planes on the replicas of EndpointSets by id: until its next load report is
	// answered, the data plane would take them for idle.
	Loads map[string]ReplicaLoad `json:"loads,omitempty"`
}

// IsFresh says whether the endpoint sets still count as confirmed by a majority, see WatchResponse.IsFresh.
func (r SubscribeResponse) IsFresh(sentAt, now time.Time) bool {
	return isFresh(sentAt, r.FreshMs, r.FreshMs, now)
}
