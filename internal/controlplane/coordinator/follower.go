package coordinator

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/coordination"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

const (
	// followWait is how long the owner of a group keeps the question for new puts: silence beyond it means that the owner
	// can't be reached.
	followWait = 600 * time.Millisecond
	// followIdle is how long a group is followed after its last watch.
	followIdle = 5 * time.Second
	// maxFollowedEvents is how many puts of a group are kept here. A watch that lags further is answered by the owner.
	maxFollowedEvents = 512
	// learnTimeout is how long a watch waits for a follower that has just begun, before it asks the owner itself: many that begin
	// together would otherwise all ask.
	learnTimeout = 250 * time.Millisecond
	// maxWatches is how many watches may wait at a node.
	maxWatches = 5000
)

// ErrExpired says that the puts after a revision are no longer all kept.
var ErrExpired = errors.New("the puts after that revision are no longer all kept")

// Watches answers watches on groups of keys at this node. However many there are on one group, its owner is asked once for all of
// them. It is safe for concurrent use.
type Watches struct {
	router *Router
	clock  func() time.Time
	// leaving is closed when the node is about to end.
	leaving <-chan struct{}
	// waiting counts the watches that wait.
	waiting atomic.Int64
	// ctx is that of the followers, which cancel ends.
	ctx    context.Context
	cancel context.CancelFunc

	lock      sync.Mutex
	followers map[string]*follower
}

// NewWatches returns an answerer of watches that follows nothing yet.
func NewWatches(router *Router, leaving <-chan struct{}, clock func() time.Time) *Watches {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watches{
		router:    router,
		clock:     clock,
		leaving:   leaving,
		ctx:       ctx,
		cancel:    cancel,
		followers: map[string]*follower{},
	}
}

// Run ends all followers once ctx ends.
func (w *Watches) Run(ctx context.Context) {
	<-ctx.Done()
	w.cancel()
}

// follower keeps the recent puts of one group: all of those above from, up to to.
type follower struct {
	group string

	lock     sync.Mutex
	events   []coordination.Event
	from, to uint64
	// isKnown says that from and to were read from the owner.
	isKnown bool
	// changed is closed when to rises.
	changed chan struct{}
	// watches counts those that wait; lastWatch is when one was here last.
	watches   int
	lastWatch time.Time
}

// Watch returns the puts of a group after a revision and the revision up to which they are all there: as soon as there is one, or
// none once wait has passed. With after 0 it returns the present revision. The error is ErrExpired, or one of Router.Do.
func (w *Watches) Watch(ctx context.Context, group string, after uint64, wait time.Duration) (coordination.Result, error) {
	if after == 0 {
		return w.router.Do(ctx, coordination.Call{
			Operation: coordination.OperationRevision,
			Kind:      coordination.KindGroup,
			Name:      group,
		})
	}
	defer w.waiting.Add(-1)
	if w.waiting.Add(1) > maxWatches {
		return coordination.Result{}, ErrOverloaded
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	followed := w.follow(group)
	defer followed.endWatch(w.clock)
	followed.awaitKnown(ctx)
	for {
		result, isCovered, changed := followed.since(after)
		if !isCovered {
			// The owner has what is missing here. If that is nothing, the follower has yet to begin.
			var err error
			if result, err = w.ask(ctx, group, after); err != nil {
				return result, err
			}
		}
		if len(result.Events) > 0 {
			return result, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return result, nil
		case <-w.leaving:
			return result, nil
		case <-ctx.Done():
			return result, nil
		}
	}
}

// ask has the owner of a group list the puts after a revision.
func (w *Watches) ask(ctx context.Context, group string, after uint64) (coordination.Result, error) {
	result, err := w.router.Do(ctx, eventsCall(group, after, 0))
	if err == nil && result.Outcome == coordination.OutcomeCompacted {
		return result, ErrExpired
	}
	return result, err
}

func eventsCall(group string, after uint64, wait time.Duration) coordination.Call {
	return coordination.Call{
		Operation:     coordination.OperationEvents,
		Kind:          coordination.KindGroup,
		Name:          group,
		AfterRevision: after,
		WaitMs:        wait.Milliseconds(),
	}
}

// follow returns the follower of a group, which runs from then on, and counts one more watch on it.
func (w *Watches) follow(group string) *follower {
	w.lock.Lock()
	defer w.lock.Unlock()
	found := w.followers[group]
	if found == nil {
		found = &follower{group: group, changed: make(chan struct{})}
		w.followers[group] = found
		go w.run(found)
	}
	found.lock.Lock()
	defer found.lock.Unlock()
	found.watches++
	return found
}

// awaitKnown waits a little for the first answer of the owner.
func (f *follower) awaitKnown(ctx context.Context) {
	f.lock.Lock()
	isKnown, changed := f.isKnown, f.changed
	f.lock.Unlock()
	if isKnown {
		return
	}
	timer := time.NewTimer(learnTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Counts counts the watches that wait, by group.
func (w *Watches) Counts() map[string]int {
	w.lock.Lock()
	defer w.lock.Unlock()
	counts := map[string]int{}
	for group, followed := range w.followers {
		followed.lock.Lock()
		if followed.watches > 0 {
			counts[group] = followed.watches
		}
		followed.lock.Unlock()
	}
	return counts
}

func (f *follower) endWatch(clock func() time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.watches--
	f.lastWatch = clock()
}

// run follows a group until it has had no watch for followIdle, or the node ends.
func (w *Watches) run(followed *follower) {
	for !w.dropIdle(followed) {
		if err := w.poll(w.ctx, followed); err != nil {
			nodesettings.Sleep(w.ctx, retryPause)
		}
	}
}

// dropIdle ends the follower of a group that nobody watches.
func (w *Watches) dropIdle(followed *follower) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	followed.lock.Lock()
	defer followed.lock.Unlock()
	isIdle := followed.watches == 0 && w.clock().Sub(followed.lastWatch) > followIdle
	ends := isIdle || w.ctx.Err() != nil || w.isLeaving()
	if ends {
		delete(w.followers, followed.group)
	}
	return ends
}

func (w *Watches) isLeaving() bool {
	select {
	case <-w.leaving:
		return true
	default:
		return false
	}
}

// poll asks the owner once for the puts that are new.
func (w *Watches) poll(ctx context.Context, followed *follower) error {
	position, isKnown := followed.position()
	call := eventsCall(followed.group, position, followWait)
	if !isKnown {
		call.Operation, call.WaitMs = coordination.OperationRevision, 0
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout+followWait)
	defer cancel()
	result, err := w.router.route(bounded, peer.CoordinationRequest{Call: call})
	if err != nil {
		return err
	}
	if !isKnown || result.Outcome == coordination.OutcomeCompacted {
		followed.restart(result.Revision)
		return nil
	}
	followed.add(result)
	return nil
}

func (f *follower) position() (position uint64, isKnown bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.to, f.isKnown
}

// restart begins at a revision, with no puts before it.
func (f *follower) restart(revision uint64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.events, f.from, f.to, f.isKnown = nil, revision, revision, true
	f.signal()
}

// add takes in the puts that follow those that are here.
func (f *follower) add(result coordination.Result) {
	if len(result.Events) == 0 {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.events = append(f.events, result.Events...)
	f.to = result.Revision
	if excess := len(f.events) - maxFollowedEvents; excess > 0 {
		f.from = f.events[excess-1].Revision
		f.events = append([]coordination.Event(nil), f.events[excess:]...)
	}
	f.signal()
}

// signal wakes the watches. The caller holds the lock.
func (f *follower) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// since returns the puts after a revision, and whether all of them are here, with a channel that is closed when there are more.
func (f *follower) since(after uint64) (result coordination.Result, isCovered bool, changed <-chan struct{}) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.isKnown || after < f.from {
		return coordination.Result{}, false, f.changed
	}
	first := sort.Search(len(f.events), func(position int) bool { return f.events[position].Revision > after })
	result = coordination.Result{
		Outcome:  coordination.OutcomeDone,
		Events:   append([]coordination.Event(nil), f.events[first:]...),
		Revision: max(f.to, after),
	}
	return result, true, f.changed
}
