package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/coordination"
)

const (
	// callerTimeout is how long an application waits for an answer before it tries another node.
	callerTimeout = time.Second
	// resendFor is how long a put is resent until it gets a definite answer.
	resendFor = 6 * time.Second
	// watchWait is the wait time of a watch.
	watchWait = 800 * time.Millisecond

	// longestHold is the maximum time that a lock is held after its last renewal.
	longestHold = 1200 * time.Millisecond

	lockCount    = 3
	counterCount = 2
	keyCount     = 4
	group        = "g."
)

// reply is the outcome of one attempt of an application.
type reply struct {
	result coordination.Result
	// isDefinite means that the call was answered with a result, and isRejected that it was answered as not executed.
	isDefinite bool
	isRejected bool
	// err is the error of the call, if any.
	err error
}

// ask makes one attempt at a node. An application that times out closes its connection; in half of the cases the node does not
// notice, as when its machine is frozen.
func (s *simulation) ask(name string, random *rand.Rand, do func(ctx context.Context, node *simulatedNode) (
	coordination.Result, error,
)) reply {
	ctx, cancel := context.WithCancel(context.Background())
	isNoticed := random.IntN(2) == 0
	answered := make(chan reply, 1)
	go func() {
		defer cancel()
		s.cluster.WaitUntilThawed(name)
		node := s.node(name)
		if node == nil {
			answered <- reply{}
			return
		}
		result, err := do(ctx, node)
		s.cluster.WaitUntilThawed(name)
		if s.node(name) != node {
			err = ErrUncertain
		}
		answered <- reply{
			result:     result,
			isDefinite: err == nil,
			isRejected: errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrOverloaded),
			err:        err,
		}
	}()
	timer := time.NewTimer(callerTimeout)
	defer timer.Stop()
	select {
	case received := <-answered:
		return received
	case <-timer.C:
		if isNoticed {
			cancel()
		}
		return reply{}
	}
}

func (s *simulation) call(name string, random *rand.Rand, call coordination.Call) reply {
	return s.ask(name, random, func(ctx context.Context, node *simulatedNode) (coordination.Result, error) {
		return node.router.Do(ctx, call)
	})
}

// hold is a period during which a caller considered itself the holder of a lock.
type hold struct {
	lock, caller string
	fence        uint64
	// sent is when the acquire call was sent; from and until bound the hold.
	sent, from, until time.Time
}

// issuedNumber is a number that a counter issued.
type issuedNumber struct {
	counter        string
	value          uint64
	sent, received time.Time
}

// access is a get or a put of a key.
type access struct {
	key            string
	isPut          bool
	expected       *uint64
	value          string
	revision       uint64
	outcome        coordination.Outcome
	sent, received time.Time
	// isIndefinite means that a put got no definite answer, and isRejected that every attempt was rejected.
	isIndefinite bool
	isRejected   bool
}

// records is everything that the applications observed.
type records struct {
	lock     sync.Mutex
	holds    []hold
	issued   []issuedNumber
	accesses []access
	// watched holds the events that each watcher received.
	watched map[int][]coordination.Event
	failure error
}

func newRecords() *records { return &records{watched: map[int][]coordination.Event{}} }

func (r *records) fail(format string, arguments ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.failure == nil {
		r.failure = errors.Errorf(format, arguments...)
	}
}

// application is a simulated application that calls the coordinator.
type application struct {
	simulation *simulation
	number     int
	random     *rand.Rand
	records    *records
	until      time.Time
}

func (a *application) name() string { return fmt.Sprint("a", a.number) }

func (a *application) node() string {
	names := a.simulation.cluster.MemberNames()
	return names[a.random.IntN(len(names))]
}

func (a *application) pause(limit time.Duration) {
	time.Sleep(time.Duration(a.random.Int64N(int64(limit))) + time.Millisecond)
}

// run makes calls until the end time.
func (a *application) run() {
	for turn := 0; time.Now().Before(a.until); turn++ {
		a.pause(60 * time.Millisecond)
		switch a.random.IntN(6) {
		case 0, 1:
			a.holdLock()
		case 2:
			a.requestNumber()
		case 3:
			a.get(a.key())
		default:
			a.put(fmt.Sprintf("v%d-%d", a.number, turn))
		}
	}
}

func (a *application) key() string { return fmt.Sprint(group, a.random.IntN(keyCount)) }

// holdLock acquires a lock, renews it a few times, and then releases it, crashes or sleeps past the end of the hold.
func (a *application) holdLock() {
	lock := fmt.Sprint("l", a.random.IntN(lockCount))
	holdFor := longestHold - time.Duration(a.random.IntN(900))*time.Millisecond
	call := coordination.Call{
		Operation: coordination.OperationAcquire,
		Kind:      coordination.KindLock,
		Name:      lock,
		Holder:    a.name(),
		TTLMs:     holdFor.Milliseconds(),
	}
	sent := time.Now()
	taken := a.simulation.call(a.node(), a.random, call)
	if !taken.isDefinite || taken.result.Outcome != coordination.OutcomeDone {
		return
	}
	held := hold{lock: lock, caller: a.name(), fence: taken.result.Fence, sent: sent, from: time.Now(), until: sent.Add(holdFor)}
	call.Fence = taken.result.Fence
	for a.random.IntN(3) > 0 && a.extend(&held, call, holdFor) {
		a.pause(holdFor / 2)
	}
	switch a.random.IntN(3) {
	case 0:
		// The application crashes: it no longer relies on the hold, but the lock stays held.
		held.until = earlier(held.until, time.Now())
	case 1:
		// The application sleeps past the end of the hold and does not release the lock.
		time.Sleep(time.Until(held.until))
	default:
		held.until = earlier(held.until, time.Now())
		call.Operation = coordination.OperationRelease
		defer a.simulation.call(a.node(), a.random, call)
	}
	a.records.lock.Lock()
	defer a.records.lock.Unlock()
	a.records.holds = append(a.records.holds, held)
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// extend renews a hold and reports whether it is still valid. An answer that arrives after the hold has expired is ignored.
func (a *application) extend(held *hold, call coordination.Call, holdFor time.Duration) bool {
	call.Operation = coordination.OperationRenew
	sent := time.Now()
	if !sent.Before(held.until) {
		return false
	}
	renewed := a.simulation.call(a.node(), a.random, call)
	if !time.Now().Before(held.until) {
		return false
	}
	if renewed.isDefinite && renewed.result.Outcome == coordination.OutcomeLost {
		held.until = time.Now()
		return false
	}
	if renewed.isDefinite {
		held.until = sent.Add(holdFor)
	}
	return true
}

func (a *application) requestNumber() {
	counter := fmt.Sprint("n", a.random.IntN(counterCount))
	sent := time.Now()
	issued := a.simulation.call(a.node(), a.random, coordination.Call{
		Operation: coordination.OperationNext,
		Kind:      coordination.KindCounter,
		Name:      counter,
	})
	if !issued.isDefinite {
		return
	}
	a.records.lock.Lock()
	defer a.records.lock.Unlock()
	a.records.issued = append(a.records.issued, issuedNumber{counter, issued.result.Number, sent, time.Now()})
}

func (a *application) get(key string) (revision uint64, isDefinite bool) {
	done := access{key: key, sent: time.Now()}
	read := a.simulation.call(a.node(), a.random, coordination.Call{
		Operation: coordination.OperationGet,
		Kind:      coordination.KindGroup,
		Name:      key,
	})
	if !read.isDefinite {
		return 0, false
	}
	done.value, done.revision, done.outcome = read.result.Value, read.result.Revision, read.result.Outcome
	done.received = time.Now()
	a.record(done)
	return done.revision, true
}

func (a *application) record(done access) {
	a.records.lock.Lock()
	defer a.records.lock.Unlock()
	a.records.accesses = append(a.records.accesses, done)
}

// put writes a key, in most cases conditional on the revision that it has read, and resends the put until it has a definite
// answer.
func (a *application) put(value string) {
	done := access{key: a.key(), isPut: true, value: value}
	if a.random.IntN(4) > 0 {
		revision, isDefinite := a.get(done.key)
		if !isDefinite {
			return
		}
		done.expected = &revision
	}
	call := coordination.Call{
		Operation:        coordination.OperationPut,
		Kind:             coordination.KindGroup,
		Name:             done.key,
		Value:            value,
		ExpectedRevision: done.expected,
	}
	done.sent, done.isRejected = time.Now(), true
	for time.Since(done.sent) < resendFor {
		answer := a.simulation.call(a.node(), a.random, call)
		if answer.isDefinite {
			done.outcome, done.revision = answer.result.Outcome, answer.result.Revision
			break
		}
		done.isRejected = done.isRejected && answer.isRejected
		if done.isRejected && a.random.IntN(2) == 0 {
			break // the application relies on the answer that the call had no effect
		}
		a.pause(100 * time.Millisecond)
	}
	done.received = time.Now()
	done.isRejected = done.isRejected && done.outcome == ""
	done.isIndefinite = done.outcome == "" && !done.isRejected
	a.record(done)
}

// watch follows the group until isOver returns true for the revision reached.
func (a *application) watch(isOver func(revision uint64) bool) {
	revision := uint64(0)
	for !isOver(revision) {
		after := revision
		answer := a.simulation.ask(a.node(), a.random, func(ctx context.Context, node *simulatedNode) (coordination.Result, error) {
			if after == 0 {
				// Watch with revision 0 would return the present revision only, but all puts from the first one are needed.
				return node.groupWatcher.fetchEvents(ctx, group, 0)
			}
			return node.groupWatcher.Watch(ctx, group, after, watchWait)
		})
		if errors.Is(answer.err, ErrExpired) {
			a.records.fail("watch %d got 410 after %d", a.number, after)
			return
		}
		if !answer.isDefinite {
			a.pause(50 * time.Millisecond)
			continue
		}
		a.addEvents(after, answer.result)
		revision = answer.result.Revision
		a.pause(20 * time.Millisecond)
	}
}

func (a *application) addEvents(after uint64, result coordination.Result) {
	last := after
	for _, event := range result.Events {
		if event.Revision <= last || event.Revision > result.Revision {
			a.records.fail("watch %d after %d: event %d follows %d, up to %d", a.number, after, event.Revision, last, result.Revision)
		}
		last = event.Revision
	}
	if result.Revision < after {
		a.records.fail("watch %d after %d was answered with revision %d", a.number, after, result.Revision)
	}
	a.records.lock.Lock()
	defer a.records.lock.Unlock()
	a.records.watched[a.number] = append(a.records.watched[a.number], result.Events...)
}
