package loadbudget

import "time"

// retryBackoff is the time between a failed write of the reservation and the next attempt.
const retryBackoff = time.Second

// Budget decides how many loads a lease holder may start and what it must reserve for them. The zero value is the budget of
// a process that has never held the lease.
type Budget struct {
	log   LoadLog
	fence uint64
	// allowance is how many loads may start in addition to those counted when the last reservation was decided, and used how
	// many of them have been ordered or detected since.
	allowance, used int
	// proposedAllowance becomes the allowance once the write in flight has certainly succeeded.
	proposedAllowance int
	// reserved is Reservation.Loads of the last reservation that was certainly written.
	reserved      int
	writeInFlight bool
	// unansweredUnwritten is set while the last reservation that was certainly written lacks unanswered loads.
	unansweredUnwritten bool
	retryAt             time.Time
	// excessSince is the time from which the reservation has been far above the need; zero while it is not.
	excessSince time.Time
}

// Fence returns the fencing token of the grant that the budget belongs to.
func (b *Budget) Fence() uint64 { return b.fence }

// TakeOver starts a grant. Unless this process itself held the previous grant, all loads of the reservation count as started,
// each at the latest time at which it may have started. No load may start before a reservation has been written under the new
// grant, since a successor would not know of the load.
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
		// A write in flight belongs to the previous grant, so its outcome is ignored and the record may lack unanswered loads.
		b.unansweredUnwritten = len(b.log.Unanswered()) > 0
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

// inherit counts the loads of a reservation that was decided at decidedBy or before. Loads without an age start at lastStart
// at the latest.
func (b *Budget) inherit(reserved Reservation, decidedBy, lastStart time.Time) {
	remaining := reserved.Loads
	for _, aged := range reserved.Aged {
		age := time.Duration(aged.AgeMs) * time.Millisecond
		b.log.AddStarted(aged.Loads, decidedBy.Add(-age))
		remaining -= aged.Loads
	}
	b.log.AddStarted(remaining, lastStart)
}

// Available returns how many loads may start now, within both the bounds and the reservation that was certainly written. It
// may be negative, for example after the bounds have been lowered.
func (b *Budget) Available(now time.Time, bounds Bounds) int {
	return min(bounds.Loads-b.log.Count(now, bounds.Window), b.allowance-b.used)
}

// Count returns how many loads may have started within the window that ends at now.
func (b *Budget) Count(now time.Time, bounds Bounds) int { return b.log.Count(now, bounds.Window) }

// RecordOrdered counts a pending load under a name and uses one load of the allowance.
func (b *Budget) RecordOrdered(name string) {
	b.log.RecordOrdered(name)
	b.used++
}

// InFlight returns the names with loads whose calls are in flight.
func (b *Budget) InFlight() []string { return b.log.InFlight() }

// RecordInFlightStarted records that the loads under a name whose calls are in flight started at now or before, or never will.
func (b *Budget) RecordInFlightStarted(name string, now time.Time) {
	b.log.RecordInFlightStarted(name, now)
}

// RecordUnanswered records that the call for a load under a name has ended without an answer. The order was decided on the replica's
// sequence number, and the load starts at startBy at the latest. A successor has to know of it, so a reservation becomes due.
func (b *Budget) RecordUnanswered(name string, sequence int64, startBy time.Time) {
	b.log.RecordUnanswered(name, sequence, startBy)
	b.unansweredUnwritten = true
}

// Unanswered returns the names with unanswered loads, with the highest sequence number that one was decided on.
func (b *Budget) Unanswered() map[string]int64 { return b.log.Unanswered() }

// RecordStarted records that the pending loads under a name started at now or before, or never will.
func (b *Budget) RecordStarted(name string, now time.Time) { b.log.RecordStarted(name, now) }

// RecordRejected removes a pending load under a name, since its order was rejected. The allowance that it used is not given
// back.
func (b *Budget) RecordRejected(name string) { b.log.RecordRejected(name) }

// AddStarted counts a load that was detected only after it had started, at startedBy or before. This may exceed the
// reservation; Propose then asks for a higher one.
func (b *Budget) AddStarted(startedBy time.Time) {
	b.log.AddStarted(1, startedBy)
	b.used++
}

// Withdraw removes a load that was counted as started by exactly startedBy and has proven not to come from the model store.
// The allowance that it used is not given back, since a successor may have counted the load.
func (b *Budget) Withdraw(startedBy time.Time) { b.log.Withdraw(startedBy) }

// SpareLoads returns how many loads may start now for models that no request waits for. Half of the bounds stays free for
// models that requests wait for.
func (b *Budget) SpareLoads(now time.Time, bounds Bounds) int {
	return min(bounds.Loads/2-b.log.Count(now, bounds.Window), b.allowance-b.used)
}

// Propose returns the reservation to write now, if one is due. The caller must report the outcome to CompleteWrite. Until
// then, only loads that are covered by both the previous reservation and this one may start, because a successor may find
// either of them.
func (b *Budget) Propose(now time.Time, bounds Bounds) (reservation Reservation, due bool) {
	if b.writeInFlight || now.Before(b.retryAt) {
		return Reservation{}, false
	}
	counted := b.log.Count(now, bounds.Window)
	countedSoon := b.log.Remaining(now.Add(bounds.lookahead()), bounds.Window)
	allowance := max(min(bounds.headroom(), bounds.Loads-countedSoon), 0)
	if !b.unansweredUnwritten && !b.shouldRaise(allowance, bounds) && !b.shouldLower(now, counted+allowance, bounds) {
		return Reservation{}, false
	}
	b.writeInFlight, b.unansweredUnwritten = true, false
	b.excessSince = time.Time{}
	left := max(b.allowance-b.used, 0)
	b.allowance, b.used = min(left, allowance), 0
	b.proposedAllowance = allowance
	return Reservation{Loads: counted + allowance, Aged: b.log.ByAge(now, bounds.Window)}, true
}

// shouldRaise reports whether little of the allowance is left and the bounds permit enough additional loads to justify a
// write. What is left is negative if AddStarted has exceeded the allowance.
func (b *Budget) shouldRaise(allowance int, bounds Bounds) bool {
	left := b.allowance - b.used
	if left <= 0 {
		return allowance > left
	}
	return left <= bounds.hysteresis() && allowance-left >= max(bounds.headroom()-bounds.hysteresis(), 1)
}

// shouldLower reports whether the reservation has been far above the need for a whole window.
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

// CompleteWrite records the outcome of a write that Propose asked for under the grant with the given fence. A successor may
// find a write of uncertain outcome, but this holder does not rely on it.
func (b *Budget) CompleteWrite(fence uint64, written Reservation, certain bool, now time.Time) {
	if fence != b.fence {
		return
	}
	b.writeInFlight = false
	if !certain {
		b.retryAt = now.Add(retryBackoff)
		b.unansweredUnwritten = len(b.log.Unanswered()) > 0
		return
	}
	b.reserved, b.allowance = written.Loads, b.proposedAllowance
}
