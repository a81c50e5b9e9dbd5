package peer

import (
	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
)

// CoordinationRequest forwards an application's coordination call to the control plane that owns the lock, counter or key.
type CoordinationRequest struct {
	Call coordination.Call `json:"call"`
	// TakeOver asks the receiver to execute the call itself, because the owner did not answer the sender.
	TakeOver bool `json:"takeOver,omitempty"`
	// Hops is how often the call has been forwarded.
	Hops int `json:"hops,omitempty"`
}

// CoordinationStatus is the result of forwarding a call.
type CoordinationStatus string

// The statuses. Their values are part of the protocol between versions.
const (
	// CoordinationDecided: the call was executed, and Result is its result.
	CoordinationDecided CoordinationStatus = "decided"
	// CoordinationNotExecuted: the call was not executed and never will be.
	CoordinationNotExecuted CoordinationStatus = "not_executed"
	// CoordinationOverloaded: the call was not executed and never will be, because too many calls are queued.
	CoordinationOverloaded CoordinationStatus = "overloaded"
	// CoordinationUncertain: the call may or may not take effect.
	CoordinationUncertain CoordinationStatus = "uncertain"
)

// CoordinationReply answers a CoordinationRequest.
type CoordinationReply struct {
	Status CoordinationStatus  `json:"status"`
	Result coordination.Result `json:"result"`
}

// HandoverRequest asks the previous owner of a lock for the last hold that it granted.
type HandoverRequest struct {
	// Key is the lock's key in the keystore.
	Key string `json:"key"`
	// Ownership is the proposal number under which the receiver owned the lock, as read by the next owner.
	Ownership keystore.ProposalNumber `json:"ownership"`
}

// HandoverReply answers a HandoverRequest.
type HandoverReply struct {
	// Known is false if the receiver did not own the lock under that proposal number, or no longer has its state.
	Known    bool                  `json:"known"`
	Handover coordination.Handover `json:"handover"`
}
