package peer

import (
	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
)

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

// HandoverRequest asks the former owner of a lock what it knows of the hold that it granted last.
type HandoverRequest struct {
	// Key is the keystore's key of the lock.
	Key string `json:"key"`
	// Ownership is the one under which the receiver owned it, as the next owner found it.
	Ownership keystore.ProposalNumber `json:"ownership"`
}

// HandoverReply answers a HandoverRequest.
type HandoverReply struct {
	// Known is false if the receiver did not own the lock under that ownership, or has forgotten it.
	Known    bool                  `json:"known"`
	Handover coordination.Handover `json:"handover"`
}
