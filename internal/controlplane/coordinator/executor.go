package coordinator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

// Errors of coordination calls.
var (
	// ErrNotExecuted means that the call had no effect and never will.
	ErrNotExecuted = errors.New("coordination call not executed")
	// ErrOverloaded means that the call was rejected without effect because too many calls are pending.
	ErrOverloaded = errors.New("too many pending coordination calls")
	// ErrUncertain means that the call may or may not take effect.
	ErrUncertain = errors.New("outcome of the coordination call unknown")
)

// maxPendingCalls is the maximum number of pending calls per item.
const maxPendingCalls = 256

// Store is the part of keystore.Store that an Executor needs.
type Store interface {
	ReadModifyWrite(ctx context.Context, name string, step keystore.ModifyFunc) (keystore.Register, error)
}

// Executor executes calls on items that this node owns. It is safe for concurrent use.
type Executor struct {
	store  Store
	config coordination.Config
	clock  func() time.Time
	// open is coordination.Open except in tests that inject defects.
	open openFunc
	// queryPreviousOwner asks the previous owner of a lock for the remaining time of the last hold. It may be nil.
	queryPreviousOwner func(ctx context.Context, request peer.HandoverRequest) (coordination.Handover, bool)

	lock  sync.Mutex
	items map[string]*ownedItem
}

// openFunc decodes an item from its stored value.
type openFunc func(
	kind coordination.Kind, value json.RawMessage, now time.Time, config coordination.Config, known coordination.VolatileState,
) (coordination.Item, error)

// ownedItem is an item that this node owns or has owned.
type ownedItem struct {
	key  string
	kind coordination.Kind

	// lock guards pending, queries, isRunning, changed and handover.
	lock      sync.Mutex
	pending   []*operation
	queries   []handoverQuery
	isRunning bool
	// handover is the previous owner's answer that has not been applied yet, or nil.
	handover *receivedHandover
	// changed is closed and replaced when a put of a group is committed.
	changed chan struct{}

	// state and register are only accessed by the goroutine that runs batches. state is nil if it must be reloaded.
	state    coordination.Item
	register keystore.Register
	// memory is the in-memory part of the state after the last committed batch, under the ownership that register names.
	memory coordination.VolatileState
	// adoptedFrom is the ownership before the present one. queriedUnder is the ownership under which the previous owner was last
	// queried.
	adoptedFrom, queriedUnder keystore.ProposalNumber
}

// operation is a pending call.
type operation struct {
	ctx  context.Context
	call coordination.Call
	done chan completion
}

type completion struct {
	result coordination.Result
	err    error
}

// NewExecutor returns an executor that owns no items. clock is the node's monotonic clock.
func NewExecutor(store Store, config coordination.Config, clock func() time.Time) *Executor {
	return &Executor{store: store, config: config, clock: clock, open: coordination.Open, items: map[string]*ownedItem{}}
}

// Do executes a call. The error is ErrNotExecuted, ErrOverloaded or ErrUncertain.
func (e *Executor) Do(ctx context.Context, call coordination.Call) (coordination.Result, error) {
	return e.submit(ctx, e.itemFor(call), call)
}

// AwaitEvents executes an OperationEvents call and waits up to the wait time of the call for the first event.
func (e *Executor) AwaitEvents(ctx context.Context, call coordination.Call) (coordination.Result, error) {
	timer := time.NewTimer(call.Wait())
	defer timer.Stop()
	item := e.itemFor(call)
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

// storeKey returns the keystore key of the item that a call refers to.
func storeKey(call coordination.Call) string {
	return keystore.CoordinationPrefix + string(call.Kind) + "/" + call.ItemName()
}

func (e *Executor) itemFor(call coordination.Call) *ownedItem {
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

// signalChange wakes the goroutines that wait for puts.
func (i *ownedItem) signalChange() {
	i.lock.Lock()
	defer i.lock.Unlock()
	close(i.changed)
	i.changed = make(chan struct{})
}

// startBatches starts the goroutine that runs the item's batches unless it is running. The caller holds the item's lock.
func (e *Executor) startBatches(item *ownedItem) {
	if !item.isRunning {
		item.isRunning = true
		go e.runBatches(item)
	}
}

func (e *Executor) submit(ctx context.Context, item *ownedItem, call coordination.Call) (coordination.Result, error) {
	submitted := &operation{ctx: ctx, call: call, done: make(chan completion, 1)}
	item.lock.Lock()
	if len(item.pending) >= maxPendingCalls {
		item.lock.Unlock()
		return coordination.Result{}, ErrOverloaded
	}
	item.pending = append(item.pending, submitted)
	e.startBatches(item)
	item.lock.Unlock()
	select {
	case completed := <-submitted.done:
		return completed.result, completed.err
	case <-ctx.Done():
		return coordination.Result{}, ErrUncertain
	}
}
