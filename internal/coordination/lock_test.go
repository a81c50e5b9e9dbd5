package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testNow = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const testTTL = 3 * time.Second

func newTestLock(t *testing.T) *Lock {
	t.Helper()
	lock, err := openLock(nil, testNow, lockTimes{})
	assert.NilError(t, err)
	return lock
}

// reopen returns the lock as opened by its next owner.
func (l *Lock) reopen(t *testing.T, now time.Time) *Lock {
	t.Helper()
	reopened, err := openLock(l.Value(), now, lockTimes{})
	assert.NilError(t, err)
	return reopened
}

func acquire(holder string, ttl time.Duration) Call {
	return Call{Operation: OperationAcquire, Kind: KindLock, Name: "l", Holder: holder, TTLMs: ttl.Milliseconds()}
}

func renew(holder string, fence uint64, ttl time.Duration) Call {
	call := acquire(holder, ttl)
	call.Operation, call.Fence = OperationRenew, fence
	return call
}

func release(holder string, fence uint64) Call {
	return Call{Operation: OperationRelease, Kind: KindLock, Name: "l", Holder: holder, Fence: fence}
}

// step applies a call at a time after testNow and returns its outcome and fence.
func (l *Lock) step(call Call, after time.Duration) (Outcome, uint64) {
	result, _ := l.Apply(call, testNow.Add(after))
	return result.Outcome, result.Fence
}

func assertOutcome(t *testing.T, outcome, expected Outcome) {
	t.Helper()
	assert.Equal(t, outcome, expected)
}

func TestLock_ExpiresAfterTTL(t *testing.T) {
	lock := newTestLock(t)
	outcome, first := lock.step(acquire("a", testTTL), 0)
	assertOutcome(t, outcome, OutcomeDone)
	outcome, _ = lock.step(acquire("b", testTTL), testTTL)
	assertOutcome(t, outcome, OutcomeHeld) // a's clock may run slower
	outcome, second := lock.step(acquire("b", testTTL), testTTL+testTTL/clockDriftDivisor)
	assertOutcome(t, outcome, OutcomeDone)
	assert.Assert(t, second > first)
	outcome, _ = lock.step(renew("a", first, testTTL), testTTL+time.Second)
	assertOutcome(t, outcome, OutcomeLost)
}

func TestLock_RenewalExtendsExpiredLockThatNobodyElseAcquired(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", testTTL), 0)
	outcome, _ := lock.step(renew("a", fence, testTTL), 2*testTTL)
	assertOutcome(t, outcome, OutcomeDone) // nobody else has acquired it
	outcome, _ = lock.step(acquire("b", testTTL), 3*testTTL-time.Millisecond)
	assertOutcome(t, outcome, OutcomeHeld)
	outcome, _ = lock.step(renew("a", fence+1, testTTL), 2*testTTL)
	assertOutcome(t, outcome, OutcomeLost) // a fence that was never issued
}

func TestLock_RenewalWithShorterTTLKeepsExpiry(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", testTTL), 0)
	outcome, _ := lock.step(renew("a", fence, time.Second), time.Millisecond)
	assertOutcome(t, outcome, OutcomeDone)
	outcome, _ = lock.step(acquire("b", testTTL), 2*time.Second)
	assertOutcome(t, outcome, OutcomeHeld) // the answer may be lost, then a relies on its first call
	outcome, _ = lock.reopen(t, testNow).step(acquire("b", testTTL), 2*time.Second)
	assertOutcome(t, outcome, OutcomeHeld)
}

func TestLock_LongerTTLIsStored(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", time.Second), 0)
	_, changed := lock.Apply(renew("a", fence, time.Second), testNow)
	assert.Assert(t, !changed)
	_, changed = lock.Apply(renew("a", fence, testTTL), testNow)
	assert.Assert(t, changed)
	outcome, _ := lock.reopen(t, testNow).step(acquire("b", testTTL), 2*time.Second)
	assertOutcome(t, outcome, OutcomeHeld)
}

func TestLock_NextOwnerWaitsOneTTLAndAcceptsRenewal(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", testTTL), 0)
	later := 10 * time.Second // a has renewed at the previous owner
	lock = lock.reopen(t, testNow.Add(later))
	outcome, _ := lock.step(acquire("b", testTTL), later+testTTL)
	assertOutcome(t, outcome, OutcomeHeld)
	outcome, _ = lock.step(renew("a", fence, testTTL), later+testTTL)
	assertOutcome(t, outcome, OutcomeDone)
}

func TestLock_DelayedReleaseKeepsNewerAcquisition(t *testing.T) {
	lock := newTestLock(t)
	_, first := lock.step(acquire("a", testTTL), 0)
	_, second := lock.step(acquire("a", testTTL), time.Second)
	assert.Assert(t, second > first)
	outcome, _ := lock.step(release("a", first), time.Second)
	assertOutcome(t, outcome, OutcomeDone)
	outcome, _ = lock.step(acquire("b", testTTL), time.Second)
	assertOutcome(t, outcome, OutcomeHeld)
	outcome, _ = lock.step(renew("a", first, testTTL), time.Second)
	assertOutcome(t, outcome, OutcomeDone) // a may have received either answer
	outcome, _ = lock.step(release("a", second), time.Second)
	assertOutcome(t, outcome, OutcomeDone)
	outcome, _ = lock.step(renew("a", second, testTTL), time.Second)
	assertOutcome(t, outcome, OutcomeLost)
	outcome, third := lock.step(acquire("b", testTTL), time.Second)
	assertOutcome(t, outcome, OutcomeDone)
	assert.Assert(t, third > second, "fences increase across releases")
}

func TestLock_ReturningOwnerKeepsExpiry(t *testing.T) {
	lock := newTestLock(t)
	lock.step(acquire("a", testTTL), 0)
	lock.step(acquire("a", testTTL), time.Second)
	previous := lock.VolatileState()
	later := testNow.Add(testTTL)
	lock, err := openLock(lock.Value(), later, previous.lock)
	assert.NilError(t, err)
	outcome, _ := lock.step(acquire("b", testTTL), testTTL+time.Second)
	assertOutcome(t, outcome, OutcomeHeld)
	outcome, _ = lock.step(acquire("b", testTTL), testTTL+time.Second+testTTL/clockDriftDivisor)
	assertOutcome(t, outcome, OutcomeDone) // one TTL after the last call, not after the new ownership began
	lock, err = openLock(lock.Value(), later, previous.lock)
	assert.NilError(t, err)
	outcome, _ = lock.step(acquire("a", testTTL), 2*testTTL-time.Millisecond)
	assertOutcome(t, outcome, OutcomeHeld) // the known times are those of an earlier fence
}

func TestLock_AttemptsOfOneCallGetSameFence(t *testing.T) {
	lock := newTestLock(t)
	call := acquire("a", testTTL)
	call.ID = "first"
	_, fence := lock.step(call, 0)
	lock = lock.reopen(t, testNow)
	_, again := lock.step(call, time.Second)
	assert.Equal(t, again, fence)
	outcome, _ := lock.step(acquire("b", testTTL), testTTL+time.Second)
	assertOutcome(t, outcome, OutcomeHeld) // each attempt extends the lock
	call.ID = "second"
	_, next := lock.step(call, time.Second)
	assert.Assert(t, next > fence)
	lock.step(release("a", next), time.Second)
	_, next = lock.step(call, time.Second)
	assert.Assert(t, next > again+1, "acquiring a released lock issues a new fence")
}

func TestLock_ForcedReleaseRaisesFence(t *testing.T) {
	lock := newTestLock(t)
	_, fence := lock.step(acquire("a", testTTL), 0)
	status, changed := lock.Apply(Call{Operation: OperationInspect}, testNow.Add(time.Second))
	assert.Assert(t, !changed)
	assert.Equal(t, *status.Lock, LockStatus{Holder: "a", Fence: fence, HeldMs: 1000, RemainingMs: 2006})
	result, changed := lock.Apply(Call{Operation: OperationForceRelease}, testNow)
	assert.Assert(t, changed && result.Fence > fence)
	outcome, next := lock.step(acquire("b", testTTL), 0)
	assertOutcome(t, outcome, OutcomeDone)
	assert.Assert(t, next > result.Fence)
}
