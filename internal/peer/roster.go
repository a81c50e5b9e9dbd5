package peer

import "ferryspar/internal/discovery"

// RosterUpdate sends the placement lease holder's list of replicas to another control plane, complete or as a diff to
// BaseVersion.
type RosterUpdate struct {
	// Member is the sender's address.
	Member string `json:"member"`
	// AgeMs is the age of the list in milliseconds.
	AgeMs    int64               `json:"ageMs"`
	Replicas []discovery.Replica `json:"replicas"`
	// Cordoned lists the models that must get no new requests, as "replica model" or "replica model/adapter".
	Cordoned []string `json:"barred,omitempty"`
	// BaseVersion, if set, is the version of the list to which Replicas and Removed are a diff.
	BaseVersion string   `json:"base,omitempty"`
	Version     string   `json:"stamp"`
	Removed     []string `json:"gone,omitempty"`
	// Rates holds the demand rates of models by model key.
	Rates map[string]Rate `json:"rates,omitempty"`
	// Fence is the fencing token of the sender's lease; Sequence increases with each update of the sender's incarnation. An
	// update whose (Fence, Sequence) is not above that of the newest one received was delayed and must be ignored.
	Fence    uint64 `json:"fence"`
	Sequence uint64 `json:"number"`
	// Pages is the number of pages in which the platform's list was read, or 0 if unknown.
	Pages int `json:"pages,omitempty"`
}

// Rate is the demand rate of a model.
type Rate struct {
	// RequestsPerS is the number of requests that arrive per second.
	RequestsPerS float64 `json:"p"`
	// PrefillLoad is the prefill time, in seconds per second, summed over all replicas.
	PrefillLoad float64 `json:"d,omitempty"`
}
