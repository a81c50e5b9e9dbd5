package peer

import "ferryspar/internal/discovery"

// RosterUpdate gives another control plane the placement lease's holder's list of replicas: all of it, or what changed
// since BaseVersion.
type RosterUpdate struct {
	// Member is the sender's address.
	Member string `json:"member"`
	// AgeMs is how old, in milliseconds, the list is.
	AgeMs    int64               `json:"ageMs"`
	Replicas []discovery.Replica `json:"replicas"`
	// Cordoned lists what must get no new requests, as "replica model" or "replica model/adapter".
	Cordoned []string `json:"barred,omitempty"`
	// BaseVersion, if set, is the version of the list that Replicas and Removed are a difference to.
	BaseVersion string   `json:"base,omitempty"`
	Version     string   `json:"stamp"`
	Removed     []string `json:"gone,omitempty"`
	// Rates holds the demand rates of models by their key.
	Rates map[string]Rate `json:"rates,omitempty"`
	// Fence is the fencing token of the sender's lease; Sequence rises with each update of the sender's incarnation. An
	// update that isn't above the newest one received, by Fence and then Sequence, was delayed and must be ignored.
	Fence    uint64 `json:"fence"`
	Sequence uint64 `json:"number"`
	// Pages is how many pages of the platform's list Replicas were read from, 0 if that is not known.
	Pages int `json:"pages,omitempty"`
}

// Rate is the demand for a model.
type Rate struct {
	// RequestsPerS is how many requests arrive a second.
	RequestsPerS float64 `json:"p"`
	// PrefillLoad is the time spent on prompts, in seconds a second over all replicas.
	PrefillLoad float64 `json:"d,omitempty"`
}
