package coordination

import (
	"encoding/json"
	"time"
)

// clockDriftDivisor bounds the clock drift: the monotonic clock of an owner runs faster than that of a holder by at most one part
// in clockDriftDivisor.
const clockDriftDivisor = 500

// lockRecord is the stored state of a lock. It is kept when the lock is released, because fences must continue to increase.
type lockRecord struct {
	// Holder is the client that acquired the lock last and has not released it, or "".
	Holder string `json:"holder,omitempty"`
	// Fence is the last fencing token issued, FirstFence the first one issued to Holder in its current run of acquisitions.
	Fence      uint64 `json:"fence"`
	FirstFence uint64 `json:"first,omitempty"`
	// MaxTTLMs is the longest TTL that Holder has requested since FirstFence, in ms.
	MaxTTLMs int64 `json:"holdMs,omitempty"`
	// CallID is the ID of the call that was granted Fence.
	CallID string `json:"call,omitempty"`
}

// Lock is a lock that one client holds at a time, until it expires.
//
// A holder considers the lock its own until the TTL has passed since it sent its last granted call; the owner counts the TTL from
// when it executes the call, which is later. Renewals are not stored, so a new owner does not know the last ones. But each of
// them was confirmed by a majority, and thus sent, before a majority promised the lock to the new owner. The new owner therefore
// counts MaxTTLMs from its own start; otherwise it could grant the lock while its holder still relies on it.
type Lock struct {
	record lockRecord
	// expiresAt is when the holder no longer relies on the lock, by the owner's monotonic clock.
	expiresAt time.Time
	// acquiredAt is when the holder acquired the lock, as far as this owner knows.
	acquiredAt time.Time
	// isEstimated reports that expiresAt is only an upper bound, derived from MaxTTLMs: this owner has granted no call yet and
	// does not know what the previous owner granted.
	isEstimated bool
}

// Handover is what the previous owner of a lock tells the next one: how much longer the holder may rely on the last grant. The
// previous owner can't have granted anything since: a grant needs the confirmation of a majority, which has promised the lock to
// the next owner.
type Handover struct {
	Fence uint64 `json:"fence"`
	// RemainingUs is the time until the lock expires and HeldUs the time since it was acquired, in microseconds by the monotonic
	// clock of the previous owner.
	RemainingUs int64 `json:"remainingUs"`
	HeldUs      int64 `json:"heldUs"`
}

// lockTimes is the part of a lock's state that is not stored.
type lockTimes struct {
	fence                 uint64
	expiresAt, acquiredAt time.Time
	isEstimated           bool
}

// LockStatus describes a lock to an operator.
type LockStatus struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// HeldMs is the time since the lock was acquired, as far as its owner knows, and RemainingMs the time until it expires.
	HeldMs      int64 `json:"heldMs"`
	RemainingMs int64 `json:"remainingMs"`
}

func openLock(value json.RawMessage, now time.Time, previous lockTimes) (*Lock, error) {
	lock := &Lock{acquiredAt: now}
	if err := decodeValue(value, &lock.record); err != nil {
		return nil, err
	}
	lock.expiresAt = now.Add(withDriftMargin(ttlDuration(lock.record.MaxTTLMs)))
	lock.isEstimated = lock.record.Holder != ""
	if previous.fence > 0 && previous.fence == lock.record.Fence {
		lock.expiresAt, lock.acquiredAt = previous.expiresAt, previous.acquiredAt
		lock.isEstimated = previous.isEstimated
	}
	return lock, nil
}

// NeedsHandover reports whether the previous owner may know an earlier time at which the lock expires.
func (l *Lock) NeedsHandover() bool { return l.isEstimated }

// AdoptHandover applies what the previous owner said in an answer received at receivedAt. The remaining time is counted from
// then, which is safe because it was measured earlier.
func (l *Lock) AdoptHandover(handover Handover, receivedAt time.Time) {
	if !l.isEstimated || handover.Fence != l.record.Fence {
		return
	}
	l.isEstimated = false
	expiresAt := receivedAt.Add(withDriftMargin(time.Duration(handover.RemainingUs+1) * time.Microsecond))
	if expiresAt.Before(l.expiresAt) {
		l.expiresAt = expiresAt
	}
	l.acquiredAt = receivedAt.Add(-time.Duration(handover.HeldUs) * time.Microsecond)
}

// Handover returns what to tell the next owner of a lock, and false for an item that is no lock or was never held. If the times
// are estimates, because this owner granted nothing itself, they are valid bounds nevertheless.
func (s VolatileState) Handover(now time.Time) (Handover, bool) {
	if s.lock.fence == 0 {
		return Handover{}, false
	}
	return Handover{
		Fence:       s.lock.fence,
		RemainingUs: max(s.lock.expiresAt.Sub(now), 0).Microseconds(),
		HeldUs:      max(now.Sub(s.lock.acquiredAt), 0).Microseconds(),
	}, true
}

// Apply implements Item.
func (l *Lock) Apply(call Call, now time.Time) (Result, bool) {
	switch call.Operation {
	case OperationAcquire:
		return l.acquire(call, now)
	case OperationRenew:
		return l.renew(call, now)
	case OperationRelease:
		return l.release(call)
	case OperationForceRelease:
		return l.forceRelease()
	}
	return Result{Outcome: OutcomeDone, Lock: l.status(now)}, false
}

// Value implements Item.
func (l *Lock) Value() json.RawMessage { return encodeValue(l.record) }

// VolatileState implements Item.
func (l *Lock) VolatileState() VolatileState {
	return VolatileState{lock: lockTimes{
		fence:       l.record.Fence,
		expiresAt:   l.expiresAt,
		acquiredAt:  l.acquiredAt,
		isEstimated: l.isEstimated,
	}}
}

// acquire issues a new fence for each call, even to the current holder: a release sent with an earlier fence may still be in
// transit and must not release this acquisition. Repeated attempts of one call get the same fence.
func (l *Lock) acquire(call Call, now time.Time) (Result, bool) {
	isHolder := l.record.Holder == call.Holder
	if !isHolder && l.isHeld(now) {
		return Result{Outcome: OutcomeHeld}, false
	}
	if isHolder && call.ID != "" && l.record.CallID == call.ID {
		return Result{Outcome: OutcomeDone, Fence: l.record.Fence}, l.extend(call, now)
	}
	l.record.Fence++
	if !isHolder {
		l.clear()
		l.record.Holder, l.record.FirstFence = call.Holder, l.record.Fence
		l.acquiredAt = now
	}
	l.record.CallID = call.ID
	l.extend(call, now)
	return Result{Outcome: OutcomeDone, Fence: l.record.Fence}, true
}

// renew extends the lock, even after it expired, as long as no other client has acquired it.
func (l *Lock) renew(call Call, now time.Time) (Result, bool) {
	isCurrent := l.record.FirstFence <= call.Fence && call.Fence <= l.record.Fence
	if l.record.Holder != call.Holder || !isCurrent {
		return Result{Outcome: OutcomeLost}, false
	}
	changed := l.extend(call, now)
	return Result{Outcome: OutcomeDone, Fence: l.record.Fence}, changed
}

// release frees the lock if the call has the latest fence. One with an earlier fence has no effect, see acquire.
func (l *Lock) release(call Call) (Result, bool) {
	if l.record.Holder != call.Holder || l.record.Fence != call.Fence {
		return Result{Outcome: OutcomeDone}, false
	}
	l.clear()
	return Result{Outcome: OutcomeDone}, true
}

// forceRelease frees the lock for an operator. It issues a higher fence, so that the former holder fails wherever fences are
// checked.
func (l *Lock) forceRelease() (Result, bool) {
	l.record.Fence++
	l.clear()
	return Result{Outcome: OutcomeDone, Fence: l.record.Fence}, true
}

func (l *Lock) clear() {
	l.record = lockRecord{Fence: l.record.Fence}
	l.expiresAt, l.isEstimated = time.Time{}, false
}

func (l *Lock) isHeld(now time.Time) bool { return l.record.Holder != "" && now.Before(l.expiresAt) }

// extend applies the TTL of a granted call, and reports whether MaxTTLMs changed, which a new owner relies on. Neither MaxTTLMs
// nor expiresAt decreases while the lock is held: the answer may be lost, and then the holder still relies on an earlier call.
func (l *Lock) extend(call Call, now time.Time) (changed bool) {
	l.isEstimated = false
	if expiresAt := now.Add(withDriftMargin(call.ttl())); expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
	changed = call.TTLMs > l.record.MaxTTLMs
	l.record.MaxTTLMs = max(l.record.MaxTTLMs, call.TTLMs)
	return changed
}

// withDriftMargin returns how long an owner must wait, by its own clock, to be sure that a duration has passed for the holder.
func withDriftMargin(duration time.Duration) time.Duration {
	return duration + duration/clockDriftDivisor
}

func (l *Lock) status(now time.Time) *LockStatus {
	if !l.isHeld(now) {
		return &LockStatus{Fence: l.record.Fence}
	}
	return &LockStatus{
		Holder:      l.record.Holder,
		Fence:       l.record.Fence,
		HeldMs:      now.Sub(l.acquiredAt).Milliseconds(),
		RemainingMs: l.expiresAt.Sub(now).Milliseconds(),
	}
}
