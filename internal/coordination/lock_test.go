package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testNow = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const testHold = 3 * time.Second

func newTestLock(t *testing.T) *Lock {
	t.Helper()
	lock, err := openLock(nil, testNow, lockMemory{})
	assert.NilError(t, err)
	return lock
}

// reopen is the lock at its next owner.
func (l *Lock) reopen(t *testing.T, now time.Time) *Lock {
	t.Helper()
	reopened, err := openLock(l.Value(), now, lockMemory{})
	assert.NilError(t, err)
	return reopened
}

func acquire(holder string, hold time.Duration) Call {
	return Call{Operation: OperationAcquire, Kind: KindLock, Name: "l", Holder: holder, TTLMs: hold.Milliseconds()}
}

func renew(holder string, fence uint64, hold time.Duration) Call {
	call := acquire(holder, hold)
	call.Operation, call.Fence = OperationRenew, fence
	return call
}

func release(holder string, fence uint64) Call {
	return Call{Operation: OperationRelease, Kind: KindLock, Name: "l", Holder: holder, Fence: fence}
}

// step returns the outcome and the fence of a call after some time.
func (l *Lock) step(call Call, after time.Duration) (Outcome, uint64) {
	result, _ := l.Apply(call, testNow.Add(after))
	return result.Outcome, result.Fence
}

func assertOutcome(t *testing.T, outcome, expected Outcome) {
	t.Helper()
	assert.Equal(t, outcome, expected)
}

func TestLock_IsFreeOnceTheTimeHasPassed(t *testing.T) {
	lock := newTestLock(t)
	outcome, first := lock.step(acquire("a", testHold), 0)
	assertOutcome(t, outcome, OutcomeDone)
	outcome, _ = lock.step(acquire("b", testHold), testHold)
	assertOutcome(t, outcome, OutcomeHeld) // a's clock may be slower
	outcome, second := lock.step(acquire("b", testHold), testHold+testHold/driftDivisor)
	assertOutcome(t, outcome, OutcomeDone)
	assert.Assert(t, second > first)
	outcome, _ = lock.step(renew("a", first, testHold), testHold+time.Second)
	assertOutcome(t, outcome, OutcomeLost)
}

func TestLock_RenewalExtendsAlsoAfterTheTime(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", testHold), 0)
	outcome, _ := lock.step(renew("a", fence, testHold), 2*testHold)
	assertOutcome(t, outcome, OutcomeDone) // nobody else has it
	outcome, _ = lock.step(acquire("b", testHold), 3*testHold-time.Millisecond)
	assertOutcome(t, outcome, OutcomeHeld)
	outcome, _ = lock.step(renew("a", fence+1, testHold), 2*testHold)
	assertOutcome(t, outcome, OutcomeLost) // a fence that was never given
}

func TestLock_ShorterHoldDoesNotEndALongerOne(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", testHold), 0)
	outcome, _ := lock.step(renew("a", fence, time.Second), time.Millisecond)
	assertOutcome(t, outcome, OutcomeDone)
	outcome, _ = lock.step(acquire("b", testHold), 2*time.Second)
	assertOutcome(t, outcome, OutcomeHeld) // the answer may be lost, and a counts on its first call
	outcome, _ = lock.reopen(t, testNow).step(acquire("b", testHold), 2*time.Second)
	assertOutcome(t, outcome, OutcomeHeld)
}

func TestLock_LongerHoldIsStored(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", time.Second), 0)
	_, changed := lock.Apply(renew("a", fence, time.Second), testNow)
	assert.Assert(t, !changed)
	_, changed = lock.Apply(renew("a", fence, testHold), testNow)
	assert.Assert(t, changed)
	outcome, _ := lock.reopen(t, testNow).step(acquire("b", testHold), 2*time.Second)
	assertOutcome(t, outcome, OutcomeHeld)
}

func TestLock_NextOwnerWaitsForTheHolderAndKeepsIt(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", testHold), 0)
	later := 10 * time.Second // a has renewed at the owner before
	lock = lock.reopen(t, testNow.Add(later))
	outcome, _ := lock.step(acquire("b", testHold), later+testHold)
	assertOutcome(t, outcome, OutcomeHeld)
	outcome, _ = lock.step(renew("a", fence, testHold), later+testHold)
	assertOutcome(t, outcome, OutcomeDone)
}

func TestLock_LateReleaseDoesNotEndANewerHold(t *testing.T) {
	lock := newTestLock(t)
	_, first := lock.step(acquire("a", testHold), 0)
	_, second := lock.step(acquire("a", testHold), time.Second)
	assert.Assert(t, second > first)
	outcome, _ := lock.step(release("a", first), time.Second)
	assertOutcome(t, outcome, OutcomeDone)
	outcome, _ = lock.step(acquire("b", testHold), time.Second)
	assertOutcome(t, outcome, OutcomeHeld)
	outcome, _ = lock.step(renew("a", first, testHold), time.Second)
	assertOutcome(t, outcome, OutcomeDone) // it has either of the two answers
	outcome, _ = lock.step(release("a", second), time.Second)
	assertOutcome(t, outcome, OutcomeDone)
	outcome, _ = lock.step(renew("a", second, testHold), time.Second)
	assertOutcome(t, outcome, OutcomeLost)
	outcome, third := lock.step(acquire("b", testHold), time.Second)
	assertOutcome(t, outcome, OutcomeDone)
	assert.Assert(t, third > second, "also after the lock was free")
}

func TestLock_OwnerThatStaysKeepsTheTime(t *testing.T) {
	lock := newTestLock(t)
	lock.step(acquire("a", testHold), 0)
	lock.step(acquire("a", testHold), time.Second)
	known := lock.VolatileState()
	later := testNow.Add(testHold)
	lock, err := openLock(lock.Value(), later, known.lock)
	assert.NilError(t, err)
	outcome, _ := lock.step(acquire("b", testHold), testHold+time.Second)
	assertOutcome(t, outcome, OutcomeHeld)
	outcome, _ = lock.step(acquire("b", testHold), testHold+time.Second+testHold/driftDivisor)
	assertOutcome(t, outcome, OutcomeDone) // one hold after the last call, not after the new ownership
	lock, err = openLock(lock.Value(), later, known.lock)
	assert.NilError(t, err)
	outcome, _ = lock.step(acquire("a", testHold), 2*testHold-time.Millisecond)
	assertOutcome(t, outcome, OutcomeHeld) // what is known is of an earlier hold
}

func TestLock_AttemptsOfOneCallGetOneFence(t *testing.T) {
	lock := newTestLock(t)
	call := acquire("a", testHold)
	call.ID = "first"
	_, fence := lock.step(call, 0)
	lock = lock.reopen(t, testNow)
	_, again := lock.step(call, time.Second)
	assert.Equal(t, again, fence)
	outcome, _ := lock.step(acquire("b", testHold), testHold+time.Second)
	assertOutcome(t, outcome, OutcomeHeld) // each attempt extends the hold
	call.ID = "second"
	_, next := lock.step(call, time.Second)
	assert.Assert(t, next > fence)
	lock.step(release("a", next), time.Second)
	_, next = lock.step(call, time.Second)
	assert.Assert(t, next > again+1, "a lock that was given back is taken anew")
}

func TestLock_ForcedReleaseOutbidsTheHolder(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", testHold), 0)
	status, changed := lock.Apply(Call{Operation: OperationInspect}, testNow.Add(time.Second))
	assert.Assert(t, !changed)
	assert.Equal(t, *status.Lock, LockStatus{Holder: "a", Fence: fence, HeldMs: 1000, RemainingMs: 2006})
	result, changed := lock.Apply(Call{Operation: OperationForceRelease}, testNow)
	assert.Assert(t, changed && result.Fence > fence)
	outcome, next := lock.step(acquire("b", testHold), 0)
	assertOutcome(t, outcome, OutcomeDone)
	assert.Assert(t, next > result.Fence)
}
