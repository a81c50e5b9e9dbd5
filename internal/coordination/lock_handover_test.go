package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// takeOverLock opens a lock for the next owner, which receives the previous owner's handover after a delay.
func takeOverLock(t *testing.T, previous *Lock, askedAt time.Time, delay time.Duration) (*Lock, Handover) {
	t.Helper()
	handover, known := previous.VolatileState().Handover(askedAt)
	assert.Assert(t, known)
	item, err := Open(KindLock, previous.Value(), askedAt.Add(-time.Millisecond), Config{}, VolatileState{})
	assert.NilError(t, err)
	next := item.(*Lock)
	next.AdoptHandover(handover, askedAt.Add(delay))
	return next, handover
}

func acquireWithID(holder string, ttl time.Duration) Call {
	return Call{Operation: OperationAcquire, Kind: KindLock, Name: "l", Holder: holder, TTLMs: ttl.Milliseconds(), ID: holder}
}

func TestLock_HandoverPreservesExpiry(t *testing.T) {
	start := time.Now()
	previous, err := openLock(nil, start, lockTimes{})
	assert.NilError(t, err)
	previous.acquire(acquireWithID("a", 3*time.Second), start)
	const delay = 100 * time.Millisecond
	next, handover := takeOverLock(t, previous, start.Add(2500*time.Millisecond), delay)
	assert.Equal(t, handover.Fence, uint64(1))
	result, _ := next.Apply(acquireWithID("b", time.Second), start.Add(3*time.Second))
	assert.Equal(t, result.Outcome, OutcomeHeld, "a may still rely on the lock, and the handover was delayed")
	result, _ = next.Apply(acquireWithID("b", time.Second), start.Add(3*time.Second+2*delay))
	assert.Equal(t, result.Outcome, OutcomeDone)
}

func TestLock_HandoverNeverShortensGrantOfNextOwner(t *testing.T) {
	start := time.Now()
	previous, err := openLock(nil, start, lockTimes{})
	assert.NilError(t, err)
	previous.acquire(acquireWithID("a", time.Second), start)
	handover, _ := previous.VolatileState().Handover(start.Add(900 * time.Millisecond))
	next, err := openLock(previous.Value(), start.Add(800*time.Millisecond), lockTimes{})
	assert.NilError(t, err)
	assert.Assert(t, next.NeedsHandover())
	renewal := Call{Operation: OperationRenew, Kind: KindLock, Holder: "a", Fence: 1, TTLMs: 1000}
	renewed, _ := next.Apply(renewal, start.Add(850*time.Millisecond))
	assert.Equal(t, renewed.Outcome, OutcomeDone)
	assert.Assert(t, !next.NeedsHandover())
	next.AdoptHandover(handover, start.Add(950*time.Millisecond))
	result, _ := next.Apply(acquireWithID("b", time.Second), start.Add(1200*time.Millisecond))
	assert.Equal(t, result.Outcome, OutcomeHeld)
}

func TestLock_IgnoresHandoverOfAnotherFence(t *testing.T) {
	start := time.Now()
	previous, err := openLock(nil, start, lockTimes{})
	assert.NilError(t, err)
	previous.acquire(acquireWithID("a", time.Second), start)
	next, err := openLock(previous.Value(), start, lockTimes{})
	assert.NilError(t, err)
	next.AdoptHandover(Handover{Fence: 7}, start)
	result, _ := next.Apply(acquireWithID("b", time.Second), start.Add(500*time.Millisecond))
	assert.Equal(t, result.Outcome, OutcomeHeld)
}
