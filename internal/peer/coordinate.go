package peer

import "ferryspar/internal/coordination"

// CoordinationRequest forwards a call of an application to the control plane that owns its item.
type CoordinationRequest struct {
	Call coordination.Call `json:"call"`
	// TakeOver asks the receiver to carry the call out itself: the node that should did not answer the sender.
	TakeOver bool `json:"takeOver,omitempty"`
	// Hops is how often the call has been passed on.
	Hops int `json:"hops,omitempty"`
}

// CoordinationStatus is whether a forwarded call was carried out.
type CoordinationStatus string

// The statuses. Their words are part of the protocol between versions.
const (
	// CoordinationDecided: Result answers the call.
	CoordinationDecided CoordinationStatus = "decided"
	// CoordinationNotExecuted: the call has changed nothing and never will.
	CoordinationNotExecuted CoordinationStatus = "not_executed"
	// CoordinationOverloaded: the same, because too many calls wait.
	CoordinationOverloaded CoordinationStatus = "overloaded"
	// CoordinationUncertain: the call may or may not take effect.
	CoordinationUncertain CoordinationStatus = "uncertain"
)

// CoordinationReply answers a CoordinationRequest.
type CoordinationReply struct {
	Status CoordinationStatus  `json:"status"`
	Result coordination.Result `json:"result"`
}
