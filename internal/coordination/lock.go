package coordination

import (
	"encoding/json"
	"time"
)

// driftDivisor bounds how much faster the steady clock of an owner may run than that of a holder: by one part in so many.
const driftDivisor = 500

// lockRecord is what is stored of a lock. It stays when the lock is given back: fences must go on from it.
type lockRecord struct {
	// Holder is who took the lock last and has not given it back, or "".
	Holder string `json:"holder,omitempty"`
	// Fence is the fencing token given out last, FirstFence the first one that Holder has got since another held the lock.
	Fence      uint64 `json:"fence"`
	FirstFence uint64 `json:"first,omitempty"`
	// HoldMs is the longest time that Holder has asked for since then, in ms.
	HoldMs int64 `json:"holdMs,omitempty"`
	// CallID is that of the call that got Fence.
	CallID string `json:"call,omitempty"`
}

// Lock is a lock that is held for a time by one holder.
//
// A holder counts itself as such until HoldMs after it sent its last call that was granted. The owner counts from when it decides
// on the call, which is later. A new owner does not know the last renewals: they are not stored, but each was confirmed by a
// majority after it was sent, hence before a majority promised the lock to the new owner. So the new owner counts HoldMs from its
// own start. Without that a lock would be given to another while its holder still counts on it.
type Lock struct {
	record lockRecord
	// freeAt is when no holder counts on the lock any more, by the owner's steady clock.
	freeAt time.Time
	// acquiredAt is when the holder took the lock, as far as this owner knows.
	acquiredAt time.Time
	// isEstimated says that freeAt is an upper bound by the length of the hold: this owner has granted nothing yet, and does not
	// know what the one before it granted.
	isEstimated bool
}

// Handover is what a former owner tells the next one of a lock: how much longer the hold that it granted last may be counted on. It
// has granted nothing since, and can't any more: each grant is confirmed by a majority, which has promised the lock to the next
// owner.
type Handover struct {
	Fence uint64 `json:"fence"`
	// RemainingUs and HeldUs are durations in microseconds by the steady clock of the former owner.
	RemainingUs int64 `json:"remainingUs"`
	HeldUs      int64 `json:"heldUs"`
}

// lockMemory is until when a hold lasts at its owner.
type lockMemory struct {
	fence              uint64
	freeAt, acquiredAt time.Time
	isEstimated        bool
}

// LockStatus describes a lock to an operator.
type LockStatus struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// HeldMs is since when the lock is held, as far as its owner knows, and RemainingMs for how long it is without a renewal.
	HeldMs      int64 `json:"heldMs"`
	RemainingMs int64 `json:"remainingMs"`
}

func openLock(value json.RawMessage, now time.Time, known lockMemory) (*Lock, error) {
	lock := &Lock{acquiredAt: now}
	if err := decodeValue(value, &lock.record); err != nil {
		return nil, err
	}
	lock.freeAt = now.Add(withDrift(holdDuration(lock.record.HoldMs)))
	lock.isEstimated = lock.record.Holder != ""
	if known.fence > 0 && known.fence == lock.record.Fence {
		lock.freeAt, lock.acquiredAt = known.freeAt, known.acquiredAt
		lock.isEstimated = known.isEstimated
	}
	return lock, nil
}

// NeedsHandover says that the owner before this one may know that the lock is free earlier.
func (l *Lock) NeedsHandover() bool { return l.isEstimated }

// AdoptHandover takes over what the former owner said in an answer that was received at a moment. The remaining time counts from
// there: it was measured before.
func (l *Lock) AdoptHandover(handover Handover, receivedAt time.Time) {
	if !l.isEstimated || handover.Fence != l.record.Fence {
		return
	}
	l.isEstimated = false
	freeAt := receivedAt.Add(withDrift(time.Duration(handover.RemainingUs+1) * time.Microsecond))
	if freeAt.Before(l.freeAt) {
		l.freeAt = freeAt
	}
	l.acquiredAt = receivedAt.Add(-time.Duration(handover.HeldUs) * time.Microsecond)
}

// Handover is what the memory of a lock says at a moment, and false for anything else. An estimate of an owner that granted nothing is
// as good a bound as any.
func (m VolatileState) Handover(now time.Time) (Handover, bool) {
	if m.lock.fence == 0 {
		return Handover{}, false
	}
	return Handover{
		Fence:       m.lock.fence,
		RemainingUs: max(m.lock.freeAt.Sub(now), 0).Microseconds(),
		HeldUs:      max(now.Sub(m.lock.acquiredAt), 0).Microseconds(),
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
	return VolatileState{lock: lockMemory{
		fence:       l.record.Fence,
		freeAt:      l.freeAt,
		acquiredAt:  l.acquiredAt,
		isEstimated: l.isEstimated,
	}}
}

// acquire gives each call a fence of its own, also to the one who holds the lock already: a release that was sent under an earlier
// fence may still be on its way, and must not end this hold. Further attempts to carry out one call get the same fence.
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

// renew extends a hold, also one whose time has passed while nobody else has taken the lock.
func (l *Lock) renew(call Call, now time.Time) (Result, bool) {
	isCurrent := l.record.FirstFence <= call.Fence && call.Fence <= l.record.Fence
	if l.record.Holder != call.Holder || !isCurrent {
		return Result{Outcome: OutcomeLost}, false
	}
	changed := l.extend(call, now)
	return Result{Outcome: OutcomeDone, Fence: l.record.Fence}, changed
}

// release ends the hold of the newest fence. An earlier fence ends nothing, see acquire.
func (l *Lock) release(call Call) (Result, bool) {
	if l.record.Holder != call.Holder || l.record.Fence != call.Fence {
		return Result{Outcome: OutcomeDone}, false
	}
	l.clear()
	return Result{Outcome: OutcomeDone}, true
}

// forceRelease ends any hold for an operator, by a fence above that of the holder, which then fails wherever fences are checked.
func (l *Lock) forceRelease() (Result, bool) {
	l.record.Fence++
	l.clear()
	return Result{Outcome: OutcomeDone, Fence: l.record.Fence}, true
}

func (l *Lock) clear() {
	l.record = lockRecord{Fence: l.record.Fence}
	l.freeAt, l.isEstimated = time.Time{}, false
}

func (l *Lock) isHeld(now time.Time) bool { return l.record.Holder != "" && now.Before(l.freeAt) }

// extend counts a granted call of the holder, and says whether the stored length changed: a new owner goes by that. Neither the
// length nor the time ever falls within a hold. An answer may be lost, and its caller goes on counting on the call before.
func (l *Lock) extend(call Call, now time.Time) (changed bool) {
	l.isEstimated = false
	if freeAt := now.Add(withDrift(call.hold())); freeAt.After(l.freeAt) {
		l.freeAt = freeAt
	}
	changed = call.TTLMs > l.record.HoldMs
	l.record.HoldMs = max(l.record.HoldMs, call.TTLMs)
	return changed
}

// withDrift is the time that an owner waits where a holder counts on a hold.
func withDrift(hold time.Duration) time.Duration { return hold + hold/driftDivisor }

func (l *Lock) status(now time.Time) *LockStatus {
	if !l.isHeld(now) {
		return &LockStatus{Fence: l.record.Fence}
	}
	return &LockStatus{
		Holder:      l.record.Holder,
		Fence:       l.record.Fence,
		HeldMs:      now.Sub(l.acquiredAt).Milliseconds(),
		RemainingMs: l.freeAt.Sub(now).Milliseconds(),
	}
}
