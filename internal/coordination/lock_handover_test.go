package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// takeOver opens a lock for the next owner, with what the former one tells, received some time after it said so.
func takeOver(t *testing.T, former *Lock, askedAt time.Time, delay time.Duration) (*Lock, Handover) {
	t.Helper()
	handover, known := former.VolatileState().Handover(askedAt)
	assert.Assert(t, known)
	item, err := Open(KindLock, former.Value(), askedAt.Add(-time.Millisecond), Config{}, VolatileState{})
	assert.NilError(t, err)
	next := item.(*Lock)
	next.AdoptHandover(handover, askedAt.Add(delay))
	return next, handover
}

func acquireFor(holder string, hold time.Duration) Call {
	return Call{Operation: OperationAcquire, Kind: KindLock, Name: "l", Holder: holder, TTLMs: hold.Milliseconds(), ID: holder}
}

func TestLock_NextOwnerFreesTheLockWhenTheFormerOneWouldHave(t *testing.T) {
	start := time.Now()
	former, err := openLock(nil, start, lockMemory{})
	assert.NilError(t, err)
	former.acquire(acquireFor("a", 3*time.Second), start)
	const delay = 100 * time.Millisecond
	next, handover := takeOver(t, former, start.Add(2500*time.Millisecond), delay)
	assert.Equal(t, handover.Fence, uint64(1))
	result, _ := next.Apply(acquireFor("b", time.Second), start.Add(3*time.Second))
	assert.Equal(t, result.Outcome, OutcomeHeld, "a may count on it, and the answer took its time")
	result, _ = next.Apply(acquireFor("b", time.Second), start.Add(3*time.Second+2*delay))
	assert.Equal(t, result.Outcome, OutcomeDone)
}

func TestLock_HandoverNeverShortensWhatTheNextOwnerGranted(t *testing.T) {
	start := time.Now()
	former, err := openLock(nil, start, lockMemory{})
	assert.NilError(t, err)
	former.acquire(acquireFor("a", time.Second), start)
	handover, _ := former.VolatileState().Handover(start.Add(900 * time.Millisecond))
	next, err := openLock(former.Value(), start.Add(800*time.Millisecond), lockMemory{})
	assert.NilError(t, err)
	assert.Assert(t, next.NeedsHandover())
	renewal := Call{Operation: OperationRenew, Kind: KindLock, Holder: "a", Fence: 1, TTLMs: 1000}
	renewed, _ := next.Apply(renewal, start.Add(850*time.Millisecond))
	assert.Equal(t, renewed.Outcome, OutcomeDone)
	assert.Assert(t, !next.NeedsHandover())
	next.AdoptHandover(handover, start.Add(950*time.Millisecond))
	result, _ := next.Apply(acquireFor("b", time.Second), start.Add(1200*time.Millisecond))
	assert.Equal(t, result.Outcome, OutcomeHeld)
}

func TestLock_HandoverOfAnotherFenceIsIgnored(t *testing.T) {
	start := time.Now()
	former, err := openLock(nil, start, lockMemory{})
	assert.NilError(t, err)
	former.acquire(acquireFor("a", time.Second), start)
	next, err := openLock(former.Value(), start, lockMemory{})
	assert.NilError(t, err)
	next.AdoptHandover(Handover{Fence: 7}, start)
	result, _ := next.Apply(acquireFor("b", time.Second), start.Add(500*time.Millisecond))
	assert.Equal(t, result.Outcome, OutcomeHeld)
}
