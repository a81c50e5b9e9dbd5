package loadbudget

import "time"

// retryBackoff is the wait after a write of the reservation that failed.
const retryBackoff = time.Second

// Budget decides which loads a lease holder may start and what it must reserve for them. The zero value
// belongs to a process that never held the lease.
type Budget struct {
	log   LoadLog
	fence uint64
	// allowance is how many loads may start beyond those that were counted when the last reservation was
	// decided, used how many of them were ordered since.
	allowance, used int
	// proposedAllowance is what allowance becomes once the write in flight has surely succeeded.
	proposedAllowance int
	// reserved is the bound in the last reservation that was surely written.
	reserved      int
	writeInFlight bool
	retryAt       time.Time
	// excessSince is when the reservation was first seen far above the need, zero while it is not.
	excessSince time.Time
}

// Fence returns the fence of the grant that the budget belongs to.
func (b *Budget) Fence() uint64 { return b.fence }

// TakeOver starts a grant. Unless this process itself held the lease last, everything that was reserved
// counts as started, as late as it may have. No load may start before a reservation was written under the
// new grant: a successor would not know of it.
func (b *Budget) TakeOver(grant Takeover, bounds Bounds) {
	continues := grant.ContinuesFence != 0 && grant.ContinuesFence == b.fence
	b.fence = grant.Fence
	b.writeInFlight, b.retryAt = false, time.Time{}
	b.allowance, b.used = 0, 0
	b.reserved, b.excessSince = 0, time.Time{}
	if grant.Reserved != nil {
		b.reserved = grant.Reserved.Loads
	}
	if continues {
		return
	}
	lastStart := grant.PredecessorStoppedAt.Add(bounds.UncertainDelay)
	b.log.ResolvePending(lastStart)
	if grant.Reserved == nil {
		b.log.AddStarted(bounds.Loads, lastStart)
		return
	}
	b.inherit(*grant.Reserved, grant.PredecessorStoppedAt, lastStart)
}

// inherit counts the loads of a reservation that was decided at a moment or before it. Those without an age start at
// lastStart at the latest.
func (b *Budget) inherit(reserved Reservation, decidedBy, lastStart time.Time) {
	rest := reserved.Loads
	for _, aged := range reserved.Aged {
		age := time.Duration(aged.AgeMs) * time.Millisecond
		b.log.AddStarted(aged.Loads, decidedBy.Add(-age))
		rest -= aged.Loads
	}
	b.log.AddStarted(rest, lastStart)
}

// Available returns how many loads may start now: within the bounds, and within what is surely reserved. It
// is negative after the bounds were lowered.
func (b *Budget) Available(now time.Time, bounds Bounds) int {
	return min(bounds.Loads-b.log.Count(now, bounds.Window), b.allowance-b.used)
}

// Count returns how many loads may have started within the window that ends at now.
func (b *Budget) Count(now time.Time, bounds Bounds) int { return b.log.Count(now, bounds.Window) }

// MarkOrdered counts a load that is ordered under a name.
func (b *Budget) MarkOrdered(name string) {
	b.log.MarkOrdered(name)
	b.used++
}

// Pending returns the names under which loads are ordered whose outcome is not known.
func (b *Budget) Pending() []string { return b.log.Pending() }

// MarkStarted records that the loads ordered under a name started at now or before, or never will.
func (b *Budget) MarkStarted(name string, now time.Time) { b.log.MarkStarted(name, now) }

// MarkRejected uncounts the last load ordered under a name: its order was rejected. The part of the allowance
// that it used is not given back.
func (b *Budget) MarkRejected(name string) { b.log.MarkRejected(name) }

// AddStarted counts a load that was found only after it started, at a moment or before it. It may exceed
// what is reserved; Propose then asks for a higher reservation.
func (b *Budget) AddStarted(startedBy time.Time) {
	b.log.AddStarted(1, startedBy)
	b.used++
}

// Withdraw uncounts a load that was counted as started by exactly the moment given, once it has proven not to come
// from the weight store. The part of the allowance that it used is not given back: a successor may have counted it.
func (b *Budget) Withdraw(startedBy time.Time) { b.log.Withdraw(startedBy) }

// SpareLoads returns how many loads may start now that no request waits for: half of the bounds stays free for those
// that one does.
func (b *Budget) SpareLoads(now time.Time, bounds Bounds) int {
	return min(bounds.Loads/2-b.log.Count(now, bounds.Window), b.allowance-b.used)
}

// Propose returns the reservation to write now, if one is due; the caller must report the outcome to
// CompleteWrite. Until then only loads that both the previous reservation and this one cover may start,
// because a successor may find either.
func (b *Budget) Propose(now time.Time, bounds Bounds) (reservation Reservation, due bool) {
	if b.writeInFlight || now.Before(b.retryAt) {
		return Reservation{}, false
	}
	counted := b.log.Count(now, bounds.Window)
	countedSoon := b.log.Remaining(now.Add(bounds.lookahead()), bounds.Window)
	allowance := max(min(bounds.headroom(), bounds.Loads-countedSoon), 0)
	if !b.shouldRaise(allowance, bounds) && !b.shouldLower(now, counted+allowance, bounds) {
		return Reservation{}, false
	}
	b.writeInFlight = true
	b.excessSince = time.Time{}
	left := max(b.allowance-b.used, 0)
	b.allowance, b.used = min(left, allowance), 0
	b.proposedAllowance = allowance
	return Reservation{Loads: counted + allowance, Aged: b.log.ByAge(now, bounds.Window)}, true
}

// shouldRaise reports whether little is left of the allowance, and the bounds permit enough more to be worth
// a write. The rest is negative where loads were found late.
func (b *Budget) shouldRaise(allowance int, bounds Bounds) bool {
	left := b.allowance - b.used
	if left <= 0 {
		return allowance > left
	}
	return left <= bounds.hysteresis() && allowance-left >= max(bounds.headroom()-bounds.hysteresis(), 1)
}

// shouldLower reports whether the reservation was far above the need for a whole window.
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

// CompleteWrite reports the outcome of the write that Propose asked for under a fence. A write that is not
// certain may be what a successor finds, but this holder does not rely on it.
func (b *Budget) CompleteWrite(fence uint64, written Reservation, certain bool, now time.Time) {
	if fence != b.fence {
		return
	}
	b.writeInFlight = false
	if !certain {
		b.retryAt = now.Add(retryBackoff)
		return
	}
	b.reserved, b.allowance = written.Loads, b.proposedAllowance
}
