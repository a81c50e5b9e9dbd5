package replicastate

import (
	"maps"
	"strings"
	"time"
)

// Change is a load or an unload of a model, or of an adapter written as model/adapter, or a change of the serving phase.
type Change struct {
	Load      bool
	Reference string
	// ServingPhase, if not empty, is the phase that the replica is to take; nothing is loaded or unloaded then.
	ServingPhase string
}

// IsUnload tells whether the change unloads something.
func (c Change) IsUnload() bool { return !c.Load && c.ServingPhase == "" }

// Order is a change that was decided on what a replica had loaded at one sequence, under one grant of the lease.
type Order struct {
	Change
	// ExpectedSequence is the replica's sequence that the change was decided on.
	ExpectedSequence int64
	// Fence is that of the grant under which the order was decided; it may be sent under no other.
	Fence uint64
}

// Outcome is what is known of an order once its call has ended.
type Outcome int

const (
	// NotSent says that nothing was written, since the lease no longer allowed it.
	NotSent Outcome = iota + 1
	// Accepted says that the replica carries the order out.
	Accepted
	// AlreadyDone says that what was ordered is so already.
	AlreadyDone
	// Conflict says that another order is under way or the sequence differs.
	Conflict
	// Fenced says that the replica has seen a grant with a higher fence.
	Fenced
	// Rejected says that there is no such order or no such replica at the address.
	Rejected
	// Unreachable says that nothing was written, since the replica could not be reached.
	Unreachable
	// NoResponse says that the order may or may not have been taken, and may yet arrive.
	NoResponse
)

// Report is what a replica says of itself. It shows one moment, which may lie before the request for it.
type Report struct {
	// Sequence counts the orders that the replica's process has accepted.
	Sequence int64
	// Busy is set while an order is being carried out.
	Busy bool
	// Loaded holds the references of models and adapters.
	Loaded map[string]bool
	// ServingPhase is the part of a generation that the replica does.
	ServingPhase string
}

// uncertainOrder is an order of unknown fate. The network can hold it no longer than until expiresAt. A replica whose process
// stands still may even then find it in its sockets when it goes on, also once the connection was reset. So only a report
// resolves it that shows a moment after the replica was seen to run at expiresAt or later: runningAt, zero before.
type uncertainOrder struct {
	Order
	expiresAt time.Time
	runningAt time.Time
}

// resolvedBy tells whether a report that shows a moment tells what became of the order.
func (o *uncertainOrder) resolvedBy(shownAt time.Time) bool {
	return !o.runningAt.IsZero() && !shownAt.Before(o.runningAt)
}

// applyChange returns what a replica has loaded once a change is done. The set given is not changed.
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
