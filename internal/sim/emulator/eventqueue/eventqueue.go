// Package eventqueue plays functions in simulated time: a queue of events ordered by their moment,
// and a clock that jumps from one to the next. It never reads the real clock, never sleeps and
// starts no goroutine; one goroutine alone may use a queue. Start reading at Queue.Until.
package eventqueue

import (
	"time"

	"github.com/google/btree"
)

// event is a function due at a moment. The number, counted in the sequence in which events are
// added, orders events of the same moment, so that a run can be repeated exactly.
type event struct {
	at     time.Time
	number int
	act    func()
}

// less orders events by moment, then by number.
func (e event) less(other event) bool {
	if !e.at.Equal(other.at) {
		return e.at.Before(other.at)
	}
	return e.number < other.number
}

// Queue holds the events still to come and the simulated clock. The functions it calls may add
// further events.
type Queue struct {
	now    time.Time
	events *btree.BTreeG[event]
	number int
}

// New makes an empty queue whose clock stands at the given moment.
func New(began time.Time) *Queue {
	return &Queue{now: began, events: btree.NewG(32, event.less)}
}

// Now is the simulated time: the moment of the event being played, or the one that Until ended at.
func (q *Queue) Now() time.Time { return q.now }

// At adds a function to be called at the given moment. A moment already past is played next,
// without turning the clock back.
func (q *Queue) At(at time.Time, act func()) {
	q.number++
	q.events.ReplaceOrInsert(event{at, q.number, act})
}

// After adds a function to be called after the given wait; a negative wait counts as none.
func (q *Queue) After(wait time.Duration, act func()) { q.At(q.now.Add(max(wait, 0)), act) }

// Step plays the earliest event and reports whether there was one.
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

// RunUntil plays every event up to and including the given moment and leaves the clock there.
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
