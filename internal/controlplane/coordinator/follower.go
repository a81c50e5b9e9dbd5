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
	// pollWait is how long the owner of a group holds a poll open when there are no new puts. No response after that time means
	// that the owner is unreachable.
	pollWait = 600 * time.Millisecond
	// followerIdleTimeout is how long a group is polled after its last watch has ended.
	followerIdleTimeout = 5 * time.Second
	// maxFollowedEvents is how many puts of a group are cached. A watch that lags further behind is answered by the owner.
	maxFollowedEvents = 512
	// firstPollTimeout is how long a watch waits for the first poll of a new follower before it asks the owner itself. Without
	// this wait, watches that start at the same time would each send a request to the owner.
	firstPollTimeout = 250 * time.Millisecond
	// maxWatches is the maximum number of pending watches per node.
	maxWatches = 5000
)

// ErrExpired means that some of the puts after the requested revision are no longer kept.
var ErrExpired = errors.New("puts after the requested revision have expired")

// GroupWatcher serves watches on groups of keys at this node. All watches on one group share a single poll of the group's owner.
// It is safe for concurrent use.
type GroupWatcher struct {
	router *Router
	clock  func() time.Time
	// leaving is closed when the node starts to shut down.
	leaving        <-chan struct{}
	pendingWatches atomic.Int64
	// ctx is the context of the followers; cancel stops them.
	ctx    context.Context
	cancel context.CancelFunc

	lock      sync.Mutex
	followers map[string]*follower
}

// NewGroupWatcher returns a GroupWatcher without followers. clock is the node's monotonic clock.
func NewGroupWatcher(router *Router, leaving <-chan struct{}, clock func() time.Time) *GroupWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &GroupWatcher{
		router:    router,
		clock:     clock,
		leaving:   leaving,
		ctx:       ctx,
		cancel:    cancel,
		followers: map[string]*follower{},
	}
}

// Run waits until ctx is done and then stops all followers.
func (w *GroupWatcher) Run(ctx context.Context) {
	<-ctx.Done()
	w.cancel()
}

// follower caches the recent puts of one group: those with revisions above from, up to and including to.
type follower struct {
	group string

	lock     sync.Mutex
	events   []coordination.Event
	from, to uint64
	// isInitialized means that from and to were read from the owner.
	isInitialized bool
	// changed is closed and replaced when to increases.
	changed chan struct{}
	// watches counts the pending watches on the group. lastWatch is when one last ended.
	watches   int
	lastWatch time.Time
}

// Watch returns the puts of a group after a revision, and the revision up to which the list is complete. It returns as soon as
// there is a put, or without puts once wait has passed. If after is 0, it returns the current revision at once. The error is
// ErrExpired or one of those of Router.Do.
func (w *GroupWatcher) Watch(ctx context.Context, group string, after uint64, wait time.Duration) (coordination.Result, error) {
	if after == 0 {
		return w.router.Do(ctx, coordination.Call{
			Operation: coordination.OperationRevision,
			Kind:      coordination.KindGroup,
			Name:      group,
		})
	}
	defer w.pendingWatches.Add(-1)
	if w.pendingWatches.Add(1) > maxWatches {
		return coordination.Result{}, ErrOverloaded
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	followed := w.acquireFollower(group)
	defer followed.releaseWatch(w.clock)
	followed.awaitFirstPoll(ctx)
	for {
		result, isComplete, changed := followed.eventsAfter(after)
		if !isComplete {
			// The owner has the puts that are not cached here. If it returns none, the follower has not been initialized yet.
			var err error
			if result, err = w.fetchEvents(ctx, group, after); err != nil {
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

// fetchEvents requests the puts of a group after a revision from its owner.
func (w *GroupWatcher) fetchEvents(ctx context.Context, group string, after uint64) (coordination.Result, error) {
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

// acquireFollower returns the follower of a group, starting it if there is none, and increments its watch count.
func (w *GroupWatcher) acquireFollower(group string) *follower {
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

// awaitFirstPoll waits up to firstPollTimeout for the owner's first response.
func (f *follower) awaitFirstPoll(ctx context.Context) {
	f.lock.Lock()
	isInitialized, changed := f.isInitialized, f.changed
	f.lock.Unlock()
	if isInitialized {
		return
	}
	timer := time.NewTimer(firstPollTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Counts returns the number of pending watches by group.
func (w *GroupWatcher) Counts() map[string]int {
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

func (f *follower) releaseWatch(clock func() time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.watches--
	f.lastWatch = clock()
}

// run polls a group until it has had no watch for followerIdleTimeout or the node shuts down.
func (w *GroupWatcher) run(followed *follower) {
	for !w.removeIfIdle(followed) {
		if err := w.poll(w.ctx, followed); err != nil {
			nodesettings.Sleep(w.ctx, retryDelay)
		}
	}
}

// removeIfIdle removes a follower whose idle time-out has passed, or any follower if the node is shutting down, and reports
// whether it did.
func (w *GroupWatcher) removeIfIdle(followed *follower) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	followed.lock.Lock()
	defer followed.lock.Unlock()
	isIdle := followed.watches == 0 && w.clock().Sub(followed.lastWatch) > followerIdleTimeout
	ends := isIdle || w.ctx.Err() != nil || w.isLeaving()
	if ends {
		delete(w.followers, followed.group)
	}
	return ends
}

func (w *GroupWatcher) isLeaving() bool {
	select {
	case <-w.leaving:
		return true
	default:
		return false
	}
}

// poll requests new puts from the owner once.
func (w *GroupWatcher) poll(ctx context.Context, followed *follower) error {
	position, isInitialized := followed.position()
	call := eventsCall(followed.group, position, pollWait)
	if !isInitialized {
		call.Operation, call.WaitMs = coordination.OperationRevision, 0
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout+pollWait)
	defer cancel()
	result, err := w.router.route(bounded, peer.CoordinationRequest{Call: call})
	if err != nil {
		return err
	}
	if !isInitialized || result.Outcome == coordination.OutcomeCompacted {
		followed.reset(result.Revision)
		return nil
	}
	followed.appendEvents(result)
	return nil
}

func (f *follower) position() (position uint64, isInitialized bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.to, f.isInitialized
}

// reset drops the cached puts and continues from a revision.
func (f *follower) reset(revision uint64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.events, f.from, f.to, f.isInitialized = nil, revision, revision, true
	f.signal()
}

// appendEvents adds puts that follow the cached ones and evicts the oldest beyond maxFollowedEvents.
func (f *follower) appendEvents(result coordination.Result) {
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

// signal wakes the pending watches. The caller holds the lock.
func (f *follower) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// eventsAfter returns the cached puts after a revision, whether none of them is missing, and a channel that is closed when more
// arrive.
func (f *follower) eventsAfter(after uint64) (result coordination.Result, isComplete bool, changed <-chan struct{}) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.isInitialized || after < f.from {
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
