package loadbudget

import "time"

// AgedLoads is a number of loads that had started at least AgeMs milliseconds before a reservation was
// decided.
type AgedLoads struct {
	Loads int   `json:"loads"`
	AgeMs int64 `json:"ageMs"`
}

// Reservation is what the lease's record tells whoever holds the lease next: Loads is an upper bound of the
// loads that may have started within the window. Aged are those of them that had started when the
// reservation was decided; the others may have started at any time since, or may still start.
type Reservation struct {
	Loads int         `json:"loads"`
	Aged  []AgedLoads `json:"aged,omitempty"`
}

// Takeover is what a new grant of the lease tells of the grants before it.
type Takeover struct {
	// Fence is the fencing token of the new grant.
	Fence uint64
	// PredecessorStoppedAt is a moment after which no earlier holder orders a load; one in flight then may start for
	// Bounds.UncertainDelay. If it were too early, loads of the predecessor would leave the window too early, and more
	// would start than allowed.
	PredecessorStoppedAt time.Time
	// Reserved is the reservation in the record of this grant, carried over from the grant before. It is
	// nil if that record has none: then its holder may have started as many loads as are allowed.
	Reserved *Reservation
	// ContinuesFence is the fence of the grant before if this process held the lease then, and 0
	// otherwise. If the budget belongs to that grant, its log has all loads that may have started.
	ContinuesFence uint64
}
