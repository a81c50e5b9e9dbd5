package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
)

func newTestExecutor(store Store) *Executor {
	return NewExecutor(store, coordination.Config{EventRetention: time.Minute}, time.Now)
}

var testNext = coordination.Call{
	Operation: coordination.OperationNext,
	Kind:      coordination.KindCounter,
	Name:      "n",
}

func TestExecutor_PendingCallsShareOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.latency = 10 * time.Millisecond
		executor := newTestExecutor(store)
		const callers = 50
		numbers := make(chan uint64, callers)
		for range callers {
			go func() {
				result, err := executor.Do(t.Context(), testNext)
				assert.Check(t, err)
				numbers <- result.Number
			}()
		}
		seen := map[uint64]bool{}
		for range callers {
			seen[<-numbers] = true
		}
		assert.Equal(t, len(seen), callers, "each number once")
		assert.Assert(t, store.operations.Load() <= 3, "%d operations", store.operations.Load())
	})
}

func TestExecutor_CanceledPendingCallIsNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.latency = 100 * time.Millisecond
		executor := newTestExecutor(store)
		go func() { _, _ = executor.Do(t.Context(), testNext) }()
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := executor.Do(ctx, coordination.Call{
			Operation: coordination.OperationNext,
			Kind:      coordination.KindCounter,
			Name:      "n",
		})
		assert.Assert(t, errors.Is(err, ErrUncertain), "%v", err)
		time.Sleep(time.Second)
		result, err := executor.Do(t.Context(), testNext)
		assert.NilError(t, err)
		assert.Equal(t, result.Number, uint64(2), "the canceled call was issued no number")
	})
}

func TestExecutor_ErrorTellsWhetherTheCallMayTakeEffect(t *testing.T) {
	for failure, expected := range map[error]error{
		keystore.ErrUncertain:  ErrUncertain,
		keystore.ErrNoMajority: ErrNotExecuted,
		keystore.ErrContended:  ErrNotExecuted,
	} {
		synctest.Test(t, func(t *testing.T) {
			store := newMemoryStore()
			store.err = failure
			_, err := newTestExecutor(store).Do(t.Context(), testNext)
			assert.Assert(t, errors.Is(err, expected), "%v: %v", failure, err)
		})
	}
}

func TestExecutor_StateIsReloadedAfterAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		executor := newTestExecutor(store)
		_, err := executor.Do(t.Context(), testPut)
		assert.NilError(t, err)
		store.err = keystore.ErrUncertain
		other := testPut
		other.Value = "other"
		_, err = executor.Do(t.Context(), other)
		assert.Assert(t, errors.Is(err, ErrUncertain), "%v", err)
		store.err = nil
		read := coordination.Call{Operation: coordination.OperationGet, Kind: coordination.KindGroup, Name: "g.k"}
		result, err := executor.Do(t.Context(), read)
		assert.NilError(t, err)
		assert.Equal(t, result.Value, "v", "an uncommitted put is not returned")
	})
}

func TestExecutor_UnreadableValueIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		key := storeKey(testNext)
		store.registers[key] = keystore.Register{Key: key, Sequence: 4, Value: []byte(`"no counter"`)}
		_, err := newTestExecutor(store).Do(t.Context(), testNext)
		assert.Assert(t, errors.Is(err, ErrNotExecuted), "%v", err)
		assert.Equal(t, string(store.registers[key].Value), `"no counter"`)
	})
}

func TestExecutor_PendingCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.latency = time.Second
		executor := newTestExecutor(store)
		overloaded := make(chan bool, 2*maxPendingCalls)
		for range 2 * maxPendingCalls {
			go func() {
				_, err := executor.Do(t.Context(), testNext)
				overloaded <- errors.Is(err, ErrOverloaded)
			}()
		}
		count := 0
		for range 2 * maxPendingCalls {
			if <-overloaded {
				count++
			}
		}
		assert.Assert(t, count > 0 && count <= maxPendingCalls, "%d rejected", count)
	})
}

func TestExecutor_AwaitEventsReturnsOnFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := newTestExecutor(newMemoryStore())
		_, err := executor.Do(t.Context(), testPut)
		assert.NilError(t, err)
		began := time.Now()
		result, err := executor.AwaitEvents(t.Context(), eventsCall(group, 1, time.Second))
		assert.NilError(t, err)
		assert.Equal(t, len(result.Events), 0)
		assert.Equal(t, time.Since(began), time.Second)
		go func() {
			time.Sleep(300 * time.Millisecond)
			other := testPut
			other.Value = "other"
			_, err := executor.Do(t.Context(), other)
			assert.Check(t, err)
		}()
		began = time.Now()
		result, err = executor.AwaitEvents(t.Context(), eventsCall(group, 1, time.Second))
		assert.NilError(t, err)
		assert.DeepEqual(t, result.Events, []coordination.Event{{Name: "g.k", Value: "other", Revision: 2}})
		assert.Equal(t, time.Since(began), 300*time.Millisecond)
	})
}

// sharedStore is the store of one of several processes with common registers. An operation takes over a key that another one
// owns.
type sharedStore struct {
	*memoryStore
	name string
	// renewsOwnership makes the next operation start a new ownership although no other process owned the key in between.
	renewsOwnership bool
}

// ReadModifyWrite implements Store.
func (s *sharedStore) ReadModifyWrite(_ context.Context, name string, step keystore.ModifyFunc) (keystore.Register, error) {
	register := s.registers[name]
	adoptedFrom := register.Accepted
	if register.Promised.Proposer != s.name || s.renewsOwnership {
		s.renewsOwnership = false
		register.Promised = keystore.ProposalNumber{Round: register.Promised.Round + 1, Proposer: s.name}
		register.Accepted = register.Promised
	}
	if decided := step(register, adoptedFrom); decided.Value != nil {
		register.Sequence++
		register.Value = decided.Value
	}
	s.registers[name] = register
	return register, nil
}

func TestExecutor_HoldExpiryIsKeptUnlessAnotherNodeOwnedTheLock(t *testing.T) {
	const holdFor = time.Second
	acquireFor := func(holder string) coordination.Call {
		return coordination.Call{
			Operation: coordination.OperationAcquire,
			Kind:      coordination.KindLock,
			Name:      "l",
			Holder:    holder,
			TTLMs:     holdFor.Milliseconds(),
		}
	}
	synctest.Test(t, func(t *testing.T) {
		registers := newMemoryStore()
		first := &sharedStore{memoryStore: registers, name: "first"}
		owner, other := newTestExecutor(first), newTestExecutor(&sharedStore{memoryStore: registers, name: "other"})
		do := func(executor *Executor, call coordination.Call) coordination.Result {
			result, err := executor.Do(t.Context(), call)
			assert.NilError(t, err)
			return result
		}
		taken := do(owner, acquireFor("a"))
		time.Sleep(holdFor - time.Millisecond)
		first.renewsOwnership = true
		assert.Equal(t, do(owner, acquireFor("b")).Outcome, coordination.OutcomeHeld)
		time.Sleep(10 * time.Millisecond)
		first.renewsOwnership = true
		taken = do(owner, acquireFor("b"))
		assert.Equal(t, taken.Outcome, coordination.OutcomeDone, "the new ownership keeps the expiry of the hold")
		time.Sleep(holdFor * 9 / 10)
		renewal := acquireFor("b")
		renewal.Operation, renewal.Fence = coordination.OperationRenew, taken.Fence
		assert.Equal(t, do(other, renewal).Outcome, coordination.OutcomeDone)
		time.Sleep(holdFor / 2)
		assert.Equal(t, do(owner, acquireFor("a")).Outcome, coordination.OutcomeHeld, "the other owner renewed the hold of b")
	})
}
