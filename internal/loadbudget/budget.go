package loadbudget

import "time"

// Takeover is what a new grant of the lease tells of the grants before it.
type Takeover struct {
	// Fence tells this grant from all others.
	Fence uint64
	// At is a moment after which no holder before begins a load.
	At time.Time
	// Reserved is the reservation in the record of this grant, carried over from the one before. It
	// is nil if that record has none: then its holder may have begun as many loads as are allowed.
	Reserved *int
	// Continues is the fence of the last grant of this process if it was followed directly by this one,
	// and 0 otherwise. The ledger has all that began if the budget took that grant over.
	Continues uint64
}

// Budget decides which loads a holder may begin and what it must reserve for them. The zero value
// belongs to a process that never held the lease.
type Budget struct {
	ledger Ledger
	fence  uint64
	// reserved is the least reservation that a successor may find in the record.
	reserved int
	writing  bool
	retryAt  time.Time
	// excessSince is when the reservation was first seen far above the need, zero while it is not.
	excessSince time.Time
}

// RetryPause is the wait after a write of the reservation that failed.
const RetryPause = time.Second

// Fence is the fence of the grant that the budget belongs to.
func (b *Budget) Fence() uint64 { return b.fence }

// TakeOver begins a grant. Unless this process itself held the lease last, everything that was
// reserved counts as begun at the last moment possible.
func (b *Budget) TakeOver(grant Takeover, bounds Bounds) {
	continues := grant.Continues != 0 && grant.Continues == b.fence
	b.fence, b.writing, b.retryAt, b.excessSince = grant.Fence, false, time.Time{}, time.Time{}
	b.reserved = 0
	inherited := bounds.Loads
	if grant.Reserved != nil {
		b.reserved = *grant.Reserved
		inherited = b.reserved
	}
	if !continues {
		b.ledger.Settle(grant.At)
		b.ledger.Inherit(inherited, grant.At)
	}
}

// Free is how many loads may begin now: within the bounds, and within what is surely reserved. It is
// below 0 after the bounds were lowered.
func (b *Budget) Free(now time.Time, bounds Bounds) int {
	return min(bounds.Loads, b.reserved) - b.ledger.Count(now, bounds.Window)
}

// Order counts a load that is ordered under a name.
func (b *Budget) Order(name string) { b.ledger.Order(name) }

// Open are the names under which loads are ordered whose fate is not known.
func (b *Budget) Open() []string { return b.ledger.Open() }

// Begun notes that the loads ordered under a name have begun at now or before, or never will.
func (b *Budget) Begun(name string, now time.Time) { b.ledger.Begun(name, now) }

// Refused takes the last load ordered under a name back: its order was refused.
func (b *Budget) Refused(name string) { b.ledger.Refused(name) }

// CountBegun counts a load that was found only after it began, at a moment or before it. It may
// exceed what is reserved, which Propose makes up for.
func (b *Budget) CountBegun(at time.Time) { b.ledger.Inherit(1, at) }

// Propose says which reservation to write now, if any; Written must follow. A lower reservation
// binds from here on, a higher one from Written on.
func (b *Budget) Propose(now time.Time, bounds Bounds) (reservation int, due bool) {
	if b.writing || now.Before(b.retryAt) {
		return 0, false
	}
	counted := b.ledger.Count(now, bounds.Window)
	target := max(counted, min(counted+bounds.headroom(), bounds.Loads))
	if !b.raises(counted, target, bounds) && !b.lowers(now, target, bounds) {
		return 0, false
	}
	b.writing = true
	b.excessSince = time.Time{}
	b.reserved = min(b.reserved, target)
	return target, true
}

// raises says whether the headroom is too small and the bounds allow more loads, or more began than
// are reserved.
func (b *Budget) raises(counted, target int, bounds Bounds) bool {
	return target > b.reserved && b.reserved-counted < bounds.hysteresis()
}

// lowers says whether the reservation was far above the need for a whole window.
func (b *Budget) lowers(now time.Time, target int, bounds Bounds) bool {
	if b.reserved < target+bounds.hysteresis() {
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
func (b *Budget) Written(fence uint64, reservation int, certain bool, now time.Time) {
	if fence != b.fence {
		return
	}
	b.writing = false
	if !certain {
		b.retryAt = now.Add(RetryPause)
		return
	}
	b.reserved = reservation
}
