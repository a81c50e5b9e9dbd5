package loadbudget

import "time"

// AgedLoads is a number of loads that had started at least AgeMs milliseconds before a reservation was decided. If AgeMs is negative,
// they have not certainly started, and start no later than that long after it.
type AgedLoads struct {
	Loads int   `json:"loads"`
	AgeMs int64 `json:"ageMs"`
}

// Reservation is the part of the lease's record by which the next holder counts this holder's loads. Loads is an upper bound
// of the loads that may have started within the window. Aged are those of them that had started when the reservation was
// decided, or whose orders were left unanswered by then; the others may have been ordered at any time since.
type Reservation struct {
	Loads int         `json:"loads"`
	Aged  []AgedLoads `json:"aged,omitempty"`
}

// Takeover describes a new grant of the lease and what is known of the grants before it.
type Takeover struct {
	// Fence is the fencing token of the new grant.
	Fence uint64
	// PredecessorStoppedAt is a time after which no earlier holder orders a load; one in flight at that time may start within
	// Bounds.UncertainDelay. If it were too early, loads of the predecessor would leave the window too early, and more loads
	// than allowed would start.
	PredecessorStoppedAt time.Time
	// Reserved is the reservation in the record of this grant, carried over from the grant before. It is nil if that record
	// has none: its holder may then have started as many loads as are allowed.
	Reserved *Reservation
	// ContinuesFence is the fencing token of the grant before if this process held it, and 0 otherwise. If the budget
	// belongs to that grant, its log has all loads that may have started.
	ContinuesFence uint64
}
