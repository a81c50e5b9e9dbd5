package replicastate

import (
	"maps"
	"strings"
	"time"
)

// Change loads or unloads a model or an adapter, or switches the serving phase.
type Change struct {
	Load bool
	// Reference names a model, or an adapter as model/adapter.
	Reference string
	// ServingPhase, if not empty, is the phase to switch to; nothing is loaded or unloaded then.
	ServingPhase string
}

// IsUnload reports whether the change unloads a model or an adapter.
func (c Change) IsUnload() bool { return !c.Load && c.ServingPhase == "" }

// Order is a change that was decided on the state of a replica at one sequence number, under one grant of the lease.
type Order struct {
	Change
	// ExpectedSequence is the replica's sequence number that the change was decided on.
	ExpectedSequence int64
	// Fence is the fencing token of the grant under which the order was decided; it must not be sent under any other.
	Fence uint64
}

// Outcome is the result of the call that sends an order, as far as the sender knows it.
type Outcome int

const (
	// NotSent means that the order was not sent, because the lease no longer allowed it.
	NotSent Outcome = iota + 1
	// Accepted means that the replica executes the order.
	Accepted
	// AlreadyDone means that the replica is already in the ordered state.
	AlreadyDone
	// Conflict means that the replica is executing another order or that its sequence number differs.
	Conflict
	// Fenced means that the replica has seen an order with a higher fencing token.
	Fenced
	// Rejected means that the replica considers the order invalid, or that another replica has this address.
	Rejected
	// Unreachable means that nothing was sent, because the connection to the replica failed.
	Unreachable
	// NoResponse means that the order may or may not have been accepted, and may still arrive.
	NoResponse
)

// Report is a replica's own description of its state at one moment, which may precede the request for the report.
type Report struct {
	// Sequence is the number of orders that the replica's process has accepted.
	Sequence int64
	// Busy is set while an order is being executed.
	Busy bool
	// Loaded is the set of references of the loaded models and adapters.
	Loaded map[string]bool
	// ServingPhase is the phase of a generation that the replica serves.
	ServingPhase string
}

// uncertainOrder is an order whose outcome is unknown. The network can delay it until expiresAt at the longest. A replica
// whose process is suspended may read it from its socket buffers even later, when it resumes, and even if the connection was
// reset. Only a report that shows a moment after the replica was seen running at or after expiresAt therefore resolves the
// order. That time is seenRunningAt, which is zero until then.
type uncertainOrder struct {
	Order
	expiresAt     time.Time
	seenRunningAt time.Time
}

// resolvedBy reports whether a report of the replica's state at shownAt determines the outcome of the order.
func (o *uncertainOrder) resolvedBy(shownAt time.Time) bool {
	return !o.seenRunningAt.IsZero() && !shownAt.Before(o.seenRunningAt)
}

// applyChange returns the loaded set after a change. It does not modify its argument.
func applyChange(loaded map[string]bool, change Change) map[string]bool {
	next := maps.Clone(loaded)
	if next == nil {
		next = map[string]bool{}
	}
	if change.Load {
		next[change.Reference] = true
		return next
	}
	if !change.IsUnload() {
		return next
	}
	for reference := range loaded {
		if reference == change.Reference || strings.HasPrefix(reference, change.Reference+"/") {
			delete(next, reference)
		}
	}
	return next
}
