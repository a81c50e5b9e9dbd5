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

// Errors of calls.
var (
	// ErrNotExecuted says that the call has changed nothing and never will.
	ErrNotExecuted = errors.New("not carried out")
	// ErrOverloaded says the same, because too many calls wait.
	ErrOverloaded = errors.New("too many calls wait")
	// ErrUncertain says that the call may or may not take effect.
	ErrUncertain = errors.New("outcome not known")
)

// maxPendingCalls is how many calls may wait for one item.
const maxPendingCalls = 256

// Store is the part of keystore.Store that an Executor needs.
type Store interface {
	ReadModifyWrite(ctx context.Context, name string, step keystore.ModifyFunc) (keystore.Register, error)
}

// Executor carries out calls at this node, as the owner of their items. It is safe for concurrent use.
type Executor struct {
	store  Store
	config coordination.Config
	clock  func() time.Time
	// open is coordination.Open, but in tests of broken variants.
	open openFunc
	// askFormerOwner asks the former owner of a lock what it knows; it may be nil.
	askFormerOwner func(ctx context.Context, request peer.HandoverRequest) (coordination.Handover, bool)

	lock  sync.Mutex
	items map[string]*ownedItem
}

// openFunc makes an item of its stored value.
type openFunc func(
	kind coordination.Kind, value json.RawMessage, now time.Time, config coordination.Config, known coordination.VolatileState,
) (coordination.Item, error)

// ownedItem is an item that this node owns, or owned.
type ownedItem struct {
	key  string
	kind coordination.Kind

	// lock guards pending, questions, isRunning, changed and handover.
	lock      sync.Mutex
	pending   []*operation
	questions []handoverQuestion
	isRunning bool
	// handover is the answer of the former owner that is not taken over yet, or nil.
	handover *receivedHandover
	// changed is closed when a put of a group is committed.
	changed chan struct{}

	// state and its register are used by the goroutine that carries out a batch; state is nil if it must be read again.
	state    coordination.Item
	register keystore.Register
	// memory is that of the state after the last batch that was confirmed, under the ownership that the register names.
	memory coordination.VolatileState
	// adoptedFrom is the ownership before the present one, askedUnder the one under which its owner was asked last.
	adoptedFrom, askedUnder keystore.ProposalNumber
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
	timer := time.NewTimer(call.Wait())
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

// startBatches has batches carried out unless they are. The caller holds the item's lock.
func (e *Executor) startBatches(item *ownedItem) {
	if !item.isRunning {
		item.isRunning = true
		go e.runBatches(item)
	}
}

func (e *Executor) submit(ctx context.Context, item *ownedItem, call coordination.Call) (coordination.Result, error) {
	waiting := &operation{ctx: ctx, call: call, done: make(chan completion, 1)}
	item.lock.Lock()
	if len(item.pending) >= maxPendingCalls {
		item.lock.Unlock()
		return coordination.Result{}, ErrOverloaded
	}
	item.pending = append(item.pending, waiting)
	e.startBatches(item)
	item.lock.Unlock()
	select {
	case completed := <-waiting.done:
		return completed.result, completed.err
	case <-ctx.Done():
		return coordination.Result{}, ErrUncertain
	}
}
