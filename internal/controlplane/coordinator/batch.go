package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
)

const (
	// maxBatchSize bounds how many calls share one keystore write.
	maxBatchSize = 128
	// batchTimeout bounds one batch. It exceeds the time-out of callers: a call that is sent again then finds the first one
	// executed.
	batchTimeout = 2500 * time.Millisecond
	// heldMaxAge bounds the age of the proof of ownership behind the answer that a lock is held. It need not be fresh, because
	// callers that wait for a lock poll it.
	heldMaxAge = 250 * time.Millisecond
	// eventsMaxAge is the same bound for the answer that a group has no newer puts. It limits how long followers keep polling an
	// owner that has been replaced.
	eventsMaxAge = 400 * time.Millisecond
)

// runBatches executes batches of an item's pending calls until none are left.
func (e *Executor) runBatches(item *ownedItem) {
	for {
		item.lock.Lock()
		size := min(len(item.pending), maxBatchSize)
		dequeued := item.pending[:size:size]
		item.pending = item.pending[size:]
		queries := item.queries
		item.queries = nil
		item.isRunning = size+len(queries) > 0
		item.lock.Unlock()
		if size+len(queries) == 0 {
			return
		}
		e.answerHandoverQueries(item, queries)
		e.runBatch(item, dequeued)
	}
}

// runBatch executes the calls whose callers are still waiting, and fails the others with ErrNotExecuted.
func (e *Executor) runBatch(item *ownedItem, dequeued []*operation) {
	var operations []*operation
	for _, pending := range dequeued {
		if pending.ctx.Err() != nil {
			pending.done <- completion{err: ErrNotExecuted}
			continue
		}
		operations = append(operations, pending)
	}
	if len(operations) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	batch := &batch{executor: e, item: item, operations: operations}
	register, err := e.store.ReadModifyWrite(ctx, item.key, batch.step)
	if err != nil || batch.err != nil {
		item.state = nil
		batch.fail(err)
		return
	}
	item.register, item.memory = register.WithoutValue(), item.state.VolatileState()
	e.requestHandover(item)
	if batch.changed && item.kind == coordination.KindGroup {
		item.signalChange()
	}
	for position, completed := range operations {
		completed.done <- completion{result: batch.results[position]}
	}
}

// batch is a group of calls on one item that are decided in one keystore step.
type batch struct {
	executor   *Executor
	item       *ownedItem
	operations []*operation
	results    []coordination.Result
	changed    bool
	// attempts counts the steps. Every step after the first reloads the stored value, because the changes that the previous step
	// made to the state may not have been committed.
	attempts int
	// err is the error of decoding the stored value.
	err error
}

// step implements keystore.ModifyFunc.
func (b *batch) step(current keystore.Register, adoptedFrom keystore.ProposalNumber) keystore.Decision {
	now := b.executor.clock()
	b.attempts++
	if b.attempts > 1 || !b.item.isLoaded(current) {
		known := b.item.memoryFor(adoptedFrom)
		b.item.state, b.err = b.executor.open(b.item.kind, current.Value, now, b.executor.config, known)
		if b.err != nil {
			return keystore.Decision{}
		}
		b.item.adoptedFrom = adoptedFrom
	}
	b.item.adoptHandover(current)
	return b.decide(now)
}

// isLoaded reports whether the state in memory matches the register and was read under the same ownership.
func (i *ownedItem) isLoaded(current keystore.Register) bool {
	return i.state != nil && i.register.SameProposal(current) && i.register.Promised == current.Promised
}

// memoryFor returns the in-memory part of the state if this node also wrote the value that the present ownership adopted, and
// else the zero value.
func (i *ownedItem) memoryFor(adoptedFrom keystore.ProposalNumber) coordination.VolatileState {
	if adoptedFrom.IsZero() || adoptedFrom != i.register.Accepted {
		return coordination.VolatileState{}
	}
	return i.memory
}

func (b *batch) decide(now time.Time) keystore.Decision {
	b.results, b.changed = b.results[:0], false
	maxAge := eventsMaxAge
	for _, current := range b.operations {
		result, changed := b.item.state.Apply(current.call, now)
		b.results = append(b.results, result)
		b.changed = b.changed || changed
		maxAge = min(maxAge, maxAgeOf(current.call, result))
	}
	if !b.changed {
		return keystore.Decision{MaxAge: maxAge}
	}
	return keystore.Decision{Value: b.item.state.Value()}
}

// maxAgeOf returns how old the proof of ownership behind a result may be.
func maxAgeOf(call coordination.Call, result coordination.Result) time.Duration {
	switch {
	case result.Outcome == coordination.OutcomeHeld:
		return heldMaxAge
	case call.Operation == coordination.OperationEvents:
		return eventsMaxAge
	}
	return 0
}

// fail answers all calls of a batch that was not committed.
func (b *batch) fail(cause error) {
	failure := ErrNotExecuted
	if errors.Is(cause, keystore.ErrUncertain) {
		failure = ErrUncertain
	}
	if b.err != nil {
		logrus.WithError(b.err).WithField("key", b.item.key).Error("stored value of a coordination item cannot be read")
	}
	for _, pending := range b.operations {
		pending.done <- completion{err: failure}
	}
}
