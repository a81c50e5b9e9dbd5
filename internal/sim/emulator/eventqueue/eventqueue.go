// Package eventqueue implements a discrete-event simulation loop: a queue of events ordered by time, and a
// simulated clock that advances from one event to the next. It never reads the real clock, never sleeps and
// starts no goroutine. A queue is not safe for concurrent use. The entry point is Queue.RunUntil.
package eventqueue

import (
	"time"

	"github.com/google/btree"
)

// event is a function due at a given time. Events due at the same time run in the order of their numbers,
// which is the order in which they were added, so that runs are reproducible.
type event struct {
	at     time.Time
	number int
	act    func()
}

// less orders events by time, then by number.
func (e event) less(other event) bool {
	if !e.at.Equal(other.at) {
		return e.at.Before(other.at)
	}
	return e.number < other.number
}

// Queue holds the pending events and the simulated clock. The functions that it calls may add events.
type Queue struct {
	now    time.Time
	events *btree.BTreeG[event]
	number int
}

// New returns an empty queue whose clock is set to the given time.
func New(start time.Time) *Queue {
	return &Queue{now: start, events: btree.NewG(32, event.less)}
}

// Now returns the simulated time: that of the event being run, or the end passed to the last RunUntil.
func (q *Queue) Now() time.Time { return q.now }

// At schedules a function to be called at the given time. If that is in the past, the function is called next
// and the clock is not set back.
func (q *Queue) At(at time.Time, act func()) {
	q.number++
	q.events.ReplaceOrInsert(event{at, q.number, act})
}

// After schedules a function to be called after the given delay. A negative delay counts as 0.
func (q *Queue) After(wait time.Duration, act func()) { q.At(q.now.Add(max(wait, 0)), act) }

// Step runs the earliest event and reports whether there was one.
func (q *Queue) Step() bool {
	next, some := q.events.DeleteMin()
	if !some {
		return false
	}
	if next.at.After(q.now) {
		q.now = next.at
	}
	next.act()
	return true
}

// RunUntil runs every event up to and including the given time and sets the clock to that time.
func (q *Queue) RunUntil(end time.Time) {
	for {
		next, some := q.events.Min()
		if !some || next.at.After(end) {
			q.now = end
			return
		}
		q.Step()
	}
}
