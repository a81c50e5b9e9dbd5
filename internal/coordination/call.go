package coordination

import "time"

// Operation is the operation that a call requests. Its values are exchanged between nodes of different versions and must not
// change.
type Operation string

// The operations.
const (
	// OperationAcquire acquires a lock, or extends it if the caller already holds it.
	OperationAcquire Operation = "acquire"
	// OperationRenew extends a lock that the caller holds.
	OperationRenew Operation = "renew"
	// OperationRelease releases a lock.
	OperationRelease Operation = "release"
	// OperationNext returns the next number of a counter.
	OperationNext Operation = "next"
	// OperationPut writes a key.
	OperationPut Operation = "put"
	// OperationGet reads a key.
	OperationGet Operation = "get"
	// OperationEvents lists the puts to a group after a revision.
	OperationEvents Operation = "events"
	// OperationRevision returns the current revision of a group.
	OperationRevision Operation = "revision"
	// OperationInspect returns an item's state to an operator without changing it.
	OperationInspect Operation = "inspect"
	// OperationForceRelease releases a lock on behalf of an operator, whoever holds it.
	OperationForceRelease Operation = "force_release"
)

// Call is a request to an item.
type Call struct {
	Operation Operation `json:"operation"`
	Kind      Kind      `json:"kind"`
	// Name is the name of the lock, counter or key; for OperationEvents and OperationRevision, of the group.
	Name string `json:"name"`
	// ID identifies an application's call across all attempts to execute it.
	ID string `json:"id,omitempty"`
	// Holder is the client that holds or requests a lock, Fence the fencing token that it was granted.
	Holder string `json:"holder,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
	// TTLMs is the time in ms after which a lock expires unless it is renewed.
	TTLMs int64 `json:"holdMs,omitempty"`
	// Value is the value to put.
	Value string `json:"value,omitempty"`
	// ExpectedRevision is the revision that the key must have, 0 if it must not exist. A put without it is unconditional.
	ExpectedRevision *uint64 `json:"expected,omitempty"`
	// AfterRevision is the revision after which events are listed.
	AfterRevision uint64 `json:"after,omitempty"`
	// WaitMs is how long OperationEvents waits for an event if there is none yet, in ms.
	WaitMs int64 `json:"waitMs,omitempty"`
}

// Wait returns WaitMs as a duration.
func (c Call) Wait() time.Duration { return time.Duration(c.WaitMs) * time.Millisecond }

func (c Call) ttl() time.Duration { return ttlDuration(c.TTLMs) }

func ttlDuration(ttlMs int64) time.Duration { return time.Duration(ttlMs) * time.Millisecond }

// Outcome is the outcome of a call. Its values are exchanged between nodes of different versions and must not change.
type Outcome string

// The outcomes. All are definite: a call with any outcome other than OutcomeDone has changed nothing.
const (
	OutcomeDone Outcome = "done"
	// OutcomeHeld means that another client holds the lock, or may hold it.
	OutcomeHeld Outcome = "held"
	// OutcomeLost means that the caller no longer holds the lock.
	OutcomeLost Outcome = "lost"
	// OutcomeConflict means that the key's revision is not the expected one.
	OutcomeConflict Outcome = "conflict"
	// OutcomeNotFound means that the key was never put.
	OutcomeNotFound Outcome = "missing"
	// OutcomeCompacted means that some events after the requested revision have been compacted away.
	OutcomeCompacted Outcome = "expired"
	// OutcomeFull means that the put would exceed the size limit of the group.
	OutcomeFull Outcome = "full"
)

// Result is the result of a call.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Fence   uint64  `json:"fence,omitempty"`
	Number  uint64  `json:"number,omitempty"`
	Value   string  `json:"value,omitempty"`
	// Revision is the revision of the key; for OperationRevision that of the group, for OperationEvents the one to continue from.
	Revision uint64  `json:"revision,omitempty"`
	Events   []Event `json:"events,omitempty"`
	// Lock is the status of a lock, for OperationInspect.
	Lock *LockStatus `json:"lock,omitempty"`
	// Group is the status of a group, for OperationInspect.
	Group *GroupStatus `json:"group,omitempty"`
}

// Event is one put of a key.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}
