package coordinator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
)

// Errors of calls.
var (
	// ErrNotExecuted says that the call has changed nothing and never will.
	ErrNotExecuted = errors.New("not carried out")
	// ErrOverloaded says the same, because too many calls wait.
	ErrOverloaded = errors.New("too many calls wait")
	// ErrUncertain says that the call may or may not take effect.
	ErrUncertain = errors.New("outcome not known")
)

const (
	// maxPendingCalls is how many calls may wait for one item.
	maxPendingCalls = 256
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

// Store is the part of keystore.Store that an Executor needs.
type Store interface {
	Operate(ctx context.Context, name string, step keystore.Step) (keystore.Register, error)
}

// Executor carries out calls at this node, as the owner of their items. It is safe for concurrent use.
type Executor struct {
	store  Store
	config coordination.Config
	clock  func() time.Time
	// open is coordination.Open, but in tests of broken variants.
	open openFunc

	lock  sync.Mutex
	items map[string]*ownedItem
}

// openFunc makes an item of its stored value.
type openFunc func(
	kind coordination.Kind, value json.RawMessage, now time.Time, config coordination.Config, known coordination.Memory,
) (coordination.Item, error)

// ownedItem is an item that this node owns, or owned.
type ownedItem struct {
	key  string
	kind coordination.Kind

	// lock guards pending, isRunning and changed.
	lock      sync.Mutex
	pending   []*operation
	isRunning bool
	// changed is closed when a put of a group is committed.
	changed chan struct{}

	// state and its register are used by the goroutine that carries out a batch; state is nil if it must be read again.
	state    coordination.Item
	register keystore.Register
	// memory is that of the state after the last batch that was confirmed, under the ownership that the register names.
	memory coordination.Memory
}

// operation is a call that waits for its outcome.
type operation struct {
	ctx  context.Context
	call coordination.Call
	done chan completion
}

type completion struct {
	result coordination.Result
	err    error
}

// NewExecutor returns an executor that owns nothing yet. clock is the node's steady clock.
func NewExecutor(store Store, config coordination.Config, clock func() time.Time) *Executor {
	return &Executor{store: store, config: config, clock: clock, open: coordination.Open, items: map[string]*ownedItem{}}
}

// Do carries out a call. The error is ErrNotExecuted, ErrOverloaded or ErrUncertain.
func (e *Executor) Do(ctx context.Context, call coordination.Call) (coordination.Result, error) {
	return e.submit(ctx, e.item(call), call)
}

// AwaitEvents carries out an OperationEvents, and waits for a first event for as long as the call says.
func (e *Executor) AwaitEvents(ctx context.Context, call coordination.Call) (coordination.Result, error) {
	timer := time.NewTimer(time.Duration(call.WaitMs) * time.Millisecond)
	defer timer.Stop()
	item := e.item(call)
	for {
		changed := item.changeSignal()
		result, err := e.submit(ctx, item, call)
		if err != nil || result.Outcome != coordination.OutcomeDone || len(result.Events) > 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return result, nil
		case <-ctx.Done():
			return result, nil
		}
	}
}

// storeKey is the keystore's key of the item that a call is about.
func storeKey(call coordination.Call) string {
	return keystore.CoordinationPrefix + string(call.Kind) + "/" + call.ItemName()
}

func (e *Executor) item(call coordination.Call) *ownedItem {
	key := storeKey(call)
	e.lock.Lock()
	defer e.lock.Unlock()
	found := e.items[key]
	if found == nil {
		found = &ownedItem{key: key, kind: call.Kind, changed: make(chan struct{})}
		e.items[key] = found
	}
	return found
}

func (i *ownedItem) changeSignal() <-chan struct{} {
	i.lock.Lock()
	defer i.lock.Unlock()
	return i.changed
}

// signalChange wakes those that wait for puts.
func (i *ownedItem) signalChange() {
	i.lock.Lock()
	defer i.lock.Unlock()
	close(i.changed)
	i.changed = make(chan struct{})
}

func (e *Executor) submit(ctx context.Context, item *ownedItem, call coordination.Call) (coordination.Result, error) {
	waiting := &operation{ctx: ctx, call: call, done: make(chan completion, 1)}
	item.lock.Lock()
	if len(item.pending) >= maxPendingCalls {
		item.lock.Unlock()
		return coordination.Result{}, ErrOverloaded
	}
	item.pending = append(item.pending, waiting)
	if !item.isRunning {
		item.isRunning = true
		go e.runBatches(item)
	}
	item.lock.Unlock()
	select {
	case completed := <-waiting.done:
		return completed.result, completed.err
	case <-ctx.Done():
		return coordination.Result{}, ErrUncertain
	}
}

// runBatches carries out batches until none is left.
func (e *Executor) runBatches(item *ownedItem) {
	for {
		item.lock.Lock()
		size := min(len(item.pending), maxBatch)
		taken := item.pending[:size:size]
		item.pending = item.pending[size:]
		item.isRunning = size > 0
		item.lock.Unlock()
		if size == 0 {
			return
		}
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
	register, err := e.store.Operate(ctx, item.key, batch.step)
	if err != nil || batch.err != nil {
		item.state = nil
		batch.fail(err)
		return
	}
	item.register, item.memory = register.WithoutValue(), item.state.Memory()
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

// step implements keystore.Step.
func (b *batch) step(current keystore.Register, adoptedFrom keystore.ProposalNumber) keystore.Decision {
	now := b.executor.clock()
	b.attempts++
	if b.attempts > 1 || !b.item.isLoaded(current) {
		known := b.item.memoryFor(adoptedFrom)
		b.item.state, b.err = b.executor.open(b.item.kind, current.Value, now, b.executor.config, known)
		if b.err != nil {
			return keystore.Decision{}
		}
	}
	return b.decide(now)
}

// isLoaded says whether the state in memory is that of the register, and was read under the same ownership.
func (i *ownedItem) isLoaded(current keystore.Register) bool {
	return i.state != nil && i.register.SameProposal(current) && i.register.Promised == current.Promised
}

// memoryFor is what is known of the item under an ownership that found the value of an earlier one.
func (i *ownedItem) memoryFor(adoptedFrom keystore.ProposalNumber) coordination.Memory {
	if adoptedFrom.IsZero() || adoptedFrom != i.register.Accepted {
		return coordination.Memory{}
	}
	return i.memory
}

func (b *batch) decide(now time.Time) keystore.Decision {
	b.results, b.changed = b.results[:0], false
	maxAge := eventsMaxAge
	for _, waiting := range b.operations {
		result, changed := b.item.state.Step(waiting.call, now)
		b.results = append(b.results, result)
		b.changed = b.changed || changed
		maxAge = min(maxAge, maxAgeOf(waiting.call, result))
	}
	if !b.changed {
		return keystore.Decision{MaxAge: maxAge}
	}
	return keystore.Decision{Value: json.RawMessage(b.item.state.Value())}
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
