package coordination

import "time"

// Operation is what a call asks for. The words are sent between nodes of different versions.
type Operation string

// The operations.
const (
	// OperationAcquire takes a lock for a holder, or extends it for the one who holds it.
	OperationAcquire Operation = "acquire"
	// OperationRenew extends a lock for its holder.
	OperationRenew Operation = "renew"
	// OperationRelease gives a lock back.
	OperationRelease Operation = "release"
	// OperationNext draws a number.
	OperationNext Operation = "next"
	// OperationPut writes a key.
	OperationPut Operation = "put"
	// OperationGet reads a key.
	OperationGet Operation = "get"
	// OperationEvents lists the puts of a group after a revision.
	OperationEvents Operation = "events"
	// OperationRevision reads the revision of a group.
	OperationRevision Operation = "revision"
	// OperationInspect shows an item to an operator, and changes nothing.
	OperationInspect Operation = "inspect"
	// OperationForceRelease takes a lock from its holder on behalf of an operator.
	OperationForceRelease Operation = "force_release"
)

// Call is one call on an item.
type Call struct {
	Operation Operation `json:"operation"`
	Kind      Kind      `json:"kind"`
	// Name is that of the lock, the counter or the key. For OperationEvents and OperationRevision it is that of the group.
	Name string `json:"name"`
	// ID identifies the call of an application over all attempts to have it carried out.
	ID string `json:"id,omitempty"`
	// Holder names who holds a lock, Fence is the fencing token of that hold.
	Holder string `json:"holder,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
	// TTLMs is for how long a lock is held without a renewal, in ms.
	TTLMs int64 `json:"holdMs,omitempty"`
	// Value is what a key is to have.
	Value string `json:"value,omitempty"`
	// ExpectedRevision is the revision that the key must have, 0 if it must not exist. Without it any will do.
	ExpectedRevision *uint64 `json:"expected,omitempty"`
	// AfterRevision is the revision after which events are asked for.
	AfterRevision uint64 `json:"after,omitempty"`
	// WaitMs is how long OperationEvents waits for a first event, in ms.
	WaitMs int64 `json:"waitMs,omitempty"`
}

// Wait is how long OperationEvents waits for a first event.
func (c Call) Wait() time.Duration { return time.Duration(c.WaitMs) * time.Millisecond }

func (c Call) hold() time.Duration { return holdDuration(c.TTLMs) }

func holdDuration(holdMs int64) time.Duration { return time.Duration(holdMs) * time.Millisecond }

// Outcome is how an item answers a call. The words are sent between nodes of different versions.
type Outcome string

// The outcomes. Each is certain: what changes an item and is answered by another outcome than OutcomeDone has changed nothing.
const (
	OutcomeDone Outcome = "done"
	// OutcomeHeld: another holds the lock, or may.
	OutcomeHeld Outcome = "held"
	// OutcomeLost: the caller does not hold the lock any more.
	OutcomeLost Outcome = "lost"
	// OutcomeConflict: the key has another revision than the one expected.
	OutcomeConflict Outcome = "conflict"
	// OutcomeNotFound: no such key was ever put.
	OutcomeNotFound Outcome = "missing"
	// OutcomeCompacted: the events after that revision are no longer all kept.
	OutcomeCompacted Outcome = "expired"
	// OutcomeFull: the item has no room for this.
	OutcomeFull Outcome = "full"
)

// Result answers a call.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Fence   uint64  `json:"fence,omitempty"`
	Number  uint64  `json:"number,omitempty"`
	Value   string  `json:"value,omitempty"`
	// Revision is that of the key, or that of the group for OperationEvents and OperationRevision.
	Revision uint64  `json:"revision,omitempty"`
	Events   []Event `json:"events,omitempty"`
	// Lock describes a lock to an operator.
	Lock *LockStatus `json:"lock,omitempty"`
	// Group describes a group to an operator.
	Group *GroupStatus `json:"group,omitempty"`
}

// Event is one put of a key.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}
