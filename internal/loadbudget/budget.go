package loadbudget

import "time"

// AgedLoads is a number of loads that had begun at least so long before a reservation was decided.
type AgedLoads struct {
	Loads int   `json:"loads"`
	AgeMs int64 `json:"ageMs"`
}

// Reservation is what stands in the lease's record for whoever holds the lease next: an upper bound of the loads that may
// have begun within the window. AgedLoads are those of them that had begun when the reservation was decided; the others may
// begin, or have begun, at any time since.
type Reservation struct {
	Loads int         `json:"loads"`
	Aged  []AgedLoads `json:"aged,omitempty"`
}

// Takeover is what a new grant of the lease tells of the grants before it.
type Takeover struct {
	// Fence tells this grant from all others.
	Fence uint64
	// At is a moment after which no holder before begins a load.
	PredecessorStoppedAt time.Time
	// Reserved is the reservation in the record of this grant, carried over from the one before. It
	// is nil if that record has none: then its holder may have begun as many loads as are allowed.
	Reserved *Reservation
	// Continues is the fence of the grant before if this process held the lease then, and 0 otherwise: if
	// the budget belongs to that grant, its ledger has all that began.
	ContinuesFence uint64
}

// Budget decides which loads a holder may begin and what it must reserve for them. The zero value
// belongs to a process that never held the lease.
type Budget struct {
	log   LoadLog
	fence uint64
	// ahead is how many loads may begin beyond those that were counted when the last reservation was decided, and spent
	// how many were ordered since. proposed is what ahead becomes once that reservation is surely on record.
	allowance, used, proposedAllowance int
	// reserved is the bound in the last reservation that was surely written.
	reserved      int
	writeInFlight bool
	retryAt       time.Time
	// excessSince is when the reservation was first seen far above the need, zero while it is not.
	excessSince time.Time
}

// RetryBackoff is the wait after a write of the reservation that failed.
const RetryBackoff = time.Second

// Fence is the fence of the grant that the budget belongs to.
func (b *Budget) Fence() uint64 { return b.fence }

// TakeOver begins a grant. Unless this process itself held the lease last, everything that was reserved counts as begun as
// late as it may have. Nothing may begin before a reservation was written under the grant.
func (b *Budget) TakeOver(grant Takeover, bounds Bounds) {
	continues := grant.ContinuesFence != 0 && grant.ContinuesFence == b.fence
	b.fence, b.writeInFlight, b.retryAt, b.excessSince = grant.Fence, false, time.Time{}, time.Time{}
	b.allowance, b.used, b.reserved = 0, 0, 0
	if grant.Reserved != nil {
		b.reserved = grant.Reserved.Loads
	}
	if continues {
		return
	}
	b.log.ResolvePending(grant.PredecessorStoppedAt)
	if grant.Reserved == nil {
		b.log.AddStarted(bounds.Loads, grant.PredecessorStoppedAt)
		return
	}
	b.inherit(*grant.Reserved, grant.PredecessorStoppedAt)
}

// inherit counts a reservation that was decided at a moment or before it.
func (b *Budget) inherit(reserved Reservation, at time.Time) {
	rest := reserved.Loads
	for _, aged := range reserved.Aged {
		b.log.AddStarted(aged.Loads, at.Add(-time.Duration(aged.AgeMs)*time.Millisecond))
		rest -= aged.Loads
	}
	b.log.AddStarted(rest, at)
}

// Free is how many loads may begin now: within the bounds, and within what is surely reserved. It is
// below 0 after the bounds were lowered.
func (b *Budget) Available(now time.Time, bounds Bounds) int {
	return min(bounds.Loads-b.log.Count(now, bounds.Window), b.allowance-b.used)
}

// Counted is how many loads may have begun within the window that ends at now.
func (b *Budget) Count(now time.Time, bounds Bounds) int { return b.log.Count(now, bounds.Window) }

// Order counts a load that is ordered under a name.
func (b *Budget) MarkOrdered(name string) {
	b.log.MarkOrdered(name)
	b.used++
}

// Open are the names under which loads are ordered whose fate is not known.
func (b *Budget) Pending() []string { return b.log.Pending() }

// Begun notes that the loads ordered under a name have begun at now or before, or never will.
func (b *Budget) MarkStarted(name string, now time.Time) { b.log.MarkStarted(name, now) }

// Refused takes the last load ordered under a name back: its order was refused. What was reserved for it is not used again.
func (b *Budget) MarkRejected(name string) { b.log.MarkRejected(name) }

// AddStarted counts a load that was found only after it began, at a moment or before it. It may
// exceed what is reserved, which Propose makes up for.
func (b *Budget) AddStarted(at time.Time) {
	b.log.AddStarted(1, at)
	b.used++
}

// Propose says which reservation to write now, if any; Written must follow. From here on only what both the earlier
// reservation and this one cover may begin, until Written tells that this one is on record.
func (b *Budget) Propose(now time.Time, bounds Bounds) (reservation Reservation, due bool) {
	if b.writeInFlight || now.Before(b.retryAt) {
		return Reservation{}, false
	}
	counted := b.log.Count(now, bounds.Window)
	soon := b.log.Remaining(now.Add(bounds.lookahead()), bounds.Window)
	ahead := max(min(bounds.headroom(), bounds.Loads-soon), 0)
	if !b.shouldRaise(ahead, bounds) && !b.shouldLower(now, counted+ahead, bounds) {
		return Reservation{}, false
	}
	b.writeInFlight = true
	b.excessSince = time.Time{}
	b.allowance, b.used, b.proposedAllowance = min(max(b.allowance-b.used, 0), ahead), 0, ahead
	return Reservation{Loads: counted + ahead, Aged: b.log.ByAge(now, bounds.Window)}, true
}

// raises says whether little is left of what may begin, and the bounds allow enough more to be worth a write. More than
// was reserved has begun where loads were found late.
func (b *Budget) shouldRaise(ahead int, bounds Bounds) bool {
	left := b.allowance - b.used
	if left <= 0 {
		return ahead > left
	}
	return left <= bounds.hysteresis() && ahead-left >= max(bounds.headroom()-bounds.hysteresis(), 1)
}

// lowers says whether the reservation was far above the need for a whole window.
func (b *Budget) shouldLower(now time.Time, need int, bounds Bounds) bool {
	if b.reserved < need+bounds.hysteresis() {
		b.excessSince = time.Time{}
		return false
	}
	if b.excessSince.IsZero() {
		b.excessSince = now
	}
	return now.Sub(b.excessSince) >= bounds.Window
}

// Written notes the outcome of the write that Propose asked for under a fence. A write that is not
// certain may be what a successor finds, but this holder does not count on it.
func (b *Budget) CompleteWrite(fence uint64, written Reservation, certain bool, now time.Time) {
	if fence != b.fence {
		return
	}
	b.writeInFlight = false
	if !certain {
		b.retryAt = now.Add(RetryBackoff)
		return
	}
	b.reserved, b.allowance = written.Loads, b.proposedAllowance
}
