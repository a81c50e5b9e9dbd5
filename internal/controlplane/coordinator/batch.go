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
	// maxBatch is how many calls one write carries out.
	maxBatch = 128
	// batchTimeout is how long one batch may take, beyond the patience of its callers, who then find it done.
	batchTimeout = 2500 * time.Millisecond
	// heldMaxAge is how old the proof may be on which a lock is called held: callers that wait for a lock ask again and again.
	heldMaxAge = 250 * time.Millisecond
	// eventsMaxAge is the same for the answer that a group has no newer puts. It bounds how long followers listen to an owner
	// that has been replaced.
	eventsMaxAge = 400 * time.Millisecond
)

// runBatches carries out batches until none is left.
func (e *Executor) runBatches(item *ownedItem) {
	for {
		item.lock.Lock()
		size := min(len(item.pending), maxBatch)
		taken := item.pending[:size:size]
		item.pending = item.pending[size:]
		questions := item.questions
		item.questions = nil
		item.isRunning = size+len(questions) > 0
		item.lock.Unlock()
		if size+len(questions) == 0 {
			return
		}
		e.answerQuestions(item, questions)
		e.runBatch(item, taken)
	}
}

// runBatch carries out calls whose callers still wait, and leaves the others undone.
func (e *Executor) runBatch(item *ownedItem, taken []*operation) {
	var operations []*operation
	for _, waiting := range taken {
		if waiting.ctx.Err() != nil {
			waiting.done <- completion{err: ErrNotExecuted}
			continue
		}
		operations = append(operations, waiting)
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
	for position, waiting := range operations {
		waiting.done <- completion{result: batch.results[position]}
	}
}

// batch is a number of calls on one item that one step decides.
type batch struct {
	executor   *Executor
	item       *ownedItem
	operations []*operation
	results    []coordination.Result
	changed    bool
	// attempts counts the steps. Each but the first begins from the stored value: what the one before it did to the state may not
	// be in force.
	attempts int
	// err says that the stored value can't be read.
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

// isLoaded says whether the state in memory is that of the register, and was read under the same ownership.
func (i *ownedItem) isLoaded(current keystore.Register) bool {
	return i.state != nil && i.register.SameProposal(current) && i.register.Promised == current.Promised
}

// memoryFor is what is known of the item under an ownership that found the value of an earlier one.
func (i *ownedItem) memoryFor(adoptedFrom keystore.ProposalNumber) coordination.VolatileState {
	if adoptedFrom.IsZero() || adoptedFrom != i.register.Accepted {
		return coordination.VolatileState{}
	}
	return i.memory
}

func (b *batch) decide(now time.Time) keystore.Decision {
	b.results, b.changed = b.results[:0], false
	maxAge := eventsMaxAge
	for _, waiting := range b.operations {
		result, changed := b.item.state.Apply(waiting.call, now)
		b.results = append(b.results, result)
		b.changed = b.changed || changed
		maxAge = min(maxAge, maxAgeOf(waiting.call, result))
	}
	if !b.changed {
		return keystore.Decision{MaxAge: maxAge}
	}
	return keystore.Decision{Value: b.item.state.Value()}
}

// maxAgeOf is how old the proof of ownership may be for a result.
func maxAgeOf(call coordination.Call, result coordination.Result) time.Duration {
	switch {
	case result.Outcome == coordination.OutcomeHeld:
		return heldMaxAge
	case call.Operation == coordination.OperationEvents:
		return eventsMaxAge
	}
	return 0
}

// fail answers all calls of a batch that was not confirmed.
func (b *batch) fail(cause error) {
	failure := ErrNotExecuted
	if errors.Is(cause, keystore.ErrUncertain) {
		failure = ErrUncertain
	}
	if b.err != nil {
		logrus.WithError(b.err).WithField("key", b.item.key).Error("stored value of a coordination item cannot be read")
	}
	for _, waiting := range b.operations {
		waiting.done <- completion{err: failure}
	}
}
