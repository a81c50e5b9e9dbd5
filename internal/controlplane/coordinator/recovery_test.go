package coordinator

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/coordination"
)

// awaitAnswers calls each item at randomly chosen nodes until there is a definite answer, which must arrive within the limit.
func (a *application) awaitAnswers(limit time.Duration) error {
	began := time.Now()
	calls := itemCalls(a.name())
	answered := make(chan coordination.Call, len(calls))
	for position, call := range calls {
		source := rand.New(rand.NewPCG(a.random.Uint64(), 31))
		// Attempts start at distinct times, so that a schedule replays deterministically.
		delay := time.Duration(position+1) * attemptStagger
		go func() {
			time.Sleep(delay)
			a.callUntilAnswered(call, source, began.Add(limit), answered)
		}()
	}
	timeout := time.After(limit)
	for range calls {
		select {
		case <-answered:
		case <-timeout:
			return errors.Wrapf(errUnanswered, "an item has no owner %s after the last fault", limit)
		}
	}
	return nil
}

// callUntilAnswered makes overlapping attempts, so that a node that does not answer does not delay the others.
func (a *application) callUntilAnswered(
	call coordination.Call, random *rand.Rand, until time.Time, answered chan<- coordination.Call,
) {
	definite := make(chan struct{}, 1)
	for time.Now().Before(until) {
		names := a.simulation.cluster.MemberNames()
		name, source := names[random.IntN(len(names))], rand.New(rand.NewPCG(random.Uint64(), 37))
		go func() {
			if a.simulation.call(name, source, call).isDefinite {
				select {
				case definite <- struct{}{}:
				default:
				}
			}
		}()
		select {
		case <-definite:
			answered <- call
			return
		case <-time.After(attemptInterval):
		}
	}
}

// itemCalls returns one call for each item that does not disturb the applications: numbers may have gaps, and locks are called
// with a renewal without a fence.
func itemCalls(holder string) []coordination.Call {
	calls := []coordination.Call{{Operation: coordination.OperationRevision, Kind: coordination.KindGroup, Name: group}}
	for position := range counterCount {
		calls = append(calls, coordination.Call{
			Operation: coordination.OperationNext, Kind: coordination.KindCounter, Name: "n" + digit(position),
		})
	}
	for position := range lockCount {
		calls = append(calls, coordination.Call{
			Operation: coordination.OperationRenew, Kind: coordination.KindLock, Name: "l" + digit(position), Holder: holder, TTLMs: 100,
		})
	}
	return calls
}

// readBack increments each counter, acquires each lock and reads the revision of the group, all of which must be answered within
// the limit: a lock whose holder has crashed is free one hold duration later.
func readBack(reader *application, final *atomic.Uint64, limit time.Duration) error {
	began := time.Now()
	var open []string
	for {
		unanswered := reader.readAll(final)
		if len(unanswered) == 0 {
			return nil
		}
		open = append(open, unanswered...)
		if time.Since(began) > limit {
			return errors.Wrapf(errUnanswered, "%s after the last call of an application, by attempts %v", limit, open)
		}
		reader.pause(50 * time.Millisecond)
	}
}

// errUnanswered is a liveness failure; all other failures are safety failures.
var errUnanswered = errors.New("not all items answered in time")

// readAll calls each item once, and returns the items whose calls were not answered or whose lock was held.
func (a *application) readAll(final *atomic.Uint64) (unanswered []string) {
	for position := range counterCount {
		call := coordination.Call{Operation: coordination.OperationNext, Kind: coordination.KindCounter, Name: "n" + digit(position)}
		sent := time.Now()
		issued := a.simulation.call(a.node(), a.random, call)
		if !issued.isDefinite {
			unanswered = append(unanswered, call.Name)
			continue
		}
		a.records.lock.Lock()
		a.records.issued = append(a.records.issued, issuedNumber{call.Name, issued.result.Number, sent, time.Now()})
		a.records.lock.Unlock()
	}
	for position := range lockCount {
		call := coordination.Call{
			Operation: coordination.OperationAcquire,
			Kind:      coordination.KindLock,
			Name:      "l" + digit(position),
			Holder:    a.name(),
			TTLMs:     100,
		}
		if taken := a.simulation.call(a.node(), a.random, call); taken.result.Outcome != coordination.OutcomeDone {
			unanswered = append(unanswered, call.Name+string(taken.result.Outcome))
		}
	}
	call := coordination.Call{Operation: coordination.OperationRevision, Kind: coordination.KindGroup, Name: group}
	read := a.simulation.call(a.node(), a.random, call)
	if !read.isDefinite {
		return append(unanswered, group)
	}
	final.Store(max(read.result.Revision, 1))
	return unanswered
}

func digit(position int) string { return string(rune('0' + position)) }
