package replica

import "ferryspar/internal/discovery"

// Operations of an Order.
const (
	OperationLoad   = "model_load"
	OperationUnload = "model_unload"
	OperationPhase  = "phase"
)

// Order is the body of a placement order.
type Order struct {
	Operation string `json:"operation"`
	// Model and Adapter are those to load or unload; Phase is the phase to take by OperationPhase.
	Model   string          `json:"modelId,omitempty"`
	Adapter string          `json:"adapterId,omitempty"`
	Phase   discovery.Phase `json:"phase,omitempty"`
	// LeaseHolder and Fence are those of the lease that the order is sent under.
	LeaseHolder string `json:"leaseHolder"`
	Fence       uint64 `json:"fenceToken"`
	// ExpectedSequence is the replica's sequence number that the order was decided on: the replica rejects it at any other. It
	// is always sent, 0 too.
	ExpectedSequence int64 `json:"expectedCount"`
}

// Report is what a replica says of itself.
type Report struct {
	// Phase is whether it does prefill, decode or both; every report has one.
	Phase  discovery.Phase         `json:"phase"`
	Models []discovery.LoadedModel `json:"modelList"`
	Busy   bool                    `json:"utilization"`
	// Sequence counts the orders that the replica has taken.
	Sequence int64 `json:"sequence"`
	// QueuedRequests and Active are numbers of requests.
	QueuedRequests int `json:"queuedRequests"`
	ActiveRequests int `json:"activeRequests"`
	// KVTokensUsed and KVTokensTotal are numbers of tokens in the KV cache.
	KVTokensUsed  float64 `json:"kvCacheUsed"`
	KVTokensTotal float64 `json:"kvCacheTotal"`
}
