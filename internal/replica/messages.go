package replica

import "ferryspar/internal/discovery"

// Values of Order.Operation.
const (
	OperationLoad   = "model_load"
	OperationUnload = "model_unload"
	OperationPhase  = "phase"
)

// Order is the body of a placement order.
type Order struct {
	Operation string `json:"operation"`
	// Model and Adapter are to be loaded or unloaded. Phase is the serving phase to switch to, for OperationPhase.
	Model   string          `json:"modelId,omitempty"`
	Adapter string          `json:"adapterId,omitempty"`
	Phase   discovery.Phase `json:"phase,omitempty"`
	// LeaseHolder and Fence are the holder and the fencing token of the lease that authorizes the order.
	LeaseHolder string `json:"leaseHolder"`
	Fence       uint64 `json:"fenceToken"`
	// ExpectedSequence is the replica's sequence number on which the order is based. The replica rejects the order if its
	// number differs. The field is always sent, even if 0.
	ExpectedSequence int64 `json:"expectedCount"`
}

// Report is a replica's report of its state.
type Report struct {
	// Phase is the serving phase: prefill, decode or both. Every report has one.
	Phase  discovery.Phase         `json:"phase"`
	Models []discovery.LoadedModel `json:"modelList"`
	Busy   bool                    `json:"utilization"`
	// Sequence is the number of orders that the replica has accepted.
	Sequence int64 `json:"sequence"`
	// QueuedRequests and ActiveRequests are the numbers of waiting and of running requests.
	QueuedRequests int `json:"queuedRequests"`
	ActiveRequests int `json:"activeRequests"`
	// KVTokensUsed and KVTokensTotal are numbers of tokens in the KV cache.
	KVTokensUsed  float64 `json:"kvCacheUsed"`
	KVTokensTotal float64 `json:"kvCacheTotal"`
}
