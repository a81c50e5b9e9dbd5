package replicastate

import (
	"maps"
	"strings"
	"time"
)

// Change is a load or an unload of a model, or of an adapter written as model/adapter.
type Change struct {
	Load      bool
	Reference string
}

// Order is a change that was decided on what a replica held at one sequence, under one grant of the lease.
type Order struct {
	Change
	// Expected is the replica's sequence on which the change was decided.
	Expected int64
	// Fence is that of the grant under which it was decided; it may be sent under no other.
	Fence uint64
}

// Outcome is what is known of an order once its call has ended.
type Outcome int

const (
	// NotSent says that nothing was written, since the lease no longer allowed it.
	NotSent Outcome = iota + 1
	// Accepted says that the replica carries the order out.
	Accepted
	// AlreadyDone says that what was ordered holds already.
	AlreadyDone
	// Conflict says that another order is under way or the sequence differs.
	Conflict
	// Fenced says that the replica has heard of a grant with a higher fence.
	Fenced
	// Rejected says that there is no such order or no such replica at the address.
	Rejected
	// Unreached says that nothing was written, since the replica could not be reached.
	Unreached
	// NoAnswer says that the order may or may not have been taken, and may yet arrive.
	NoAnswer
)

// Report is what a replica tells of itself. It shows one moment, which may lie before the question.
type Report struct {
	Sequence int64
	Busy     bool
	Loaded   map[string]bool
}

// uncertainOrder is an order whose fate is unknown. Until is when the network can no longer hold it. A replica that stands
// still may even then find it in its sockets when it goes on, also once the connection was reset. So only a report tells
// what became of it that shows a moment after the replica was seen to run: awake, zero before.
type uncertainOrder struct {
	Order
	expiresAt time.Time
	runningAt time.Time
}

// resolvedBy tells whether a report of that moment tells what became of the order.
func (o *uncertainOrder) resolvedBy(shownAt time.Time) bool {
	return !o.runningAt.IsZero() && !shownAt.Before(o.runningAt)
}

// applyChange is what a replica holds once the change is done. The set that was given is left alone.
func applyChange(loaded map[string]bool, change Change) map[string]bool {
	next := maps.Clone(loaded)
	if next == nil {
		next = map[string]bool{}
	}
	if change.Load {
		next[change.Reference] = true
		return next
	}
	for reference := range loaded {
		if reference == change.Reference || strings.HasPrefix(reference, change.Reference+"/") {
			delete(next, reference)
		}
	}
	return next
}
