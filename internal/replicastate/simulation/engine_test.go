package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to run at a simulated time. Events at the same time run in the order in which they were added.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(left, right int) bool {
	if !q[left].at.Equal(q[right].at) {
		return q[left].at.Before(q[right].at)
	}
	return q[left].sequence < q[right].sequence
}

func (q eventQueue) Swap(left, right int) { q[left], q[right] = q[right], q[left] }

func (q *eventQueue) Push(added any) { *q = append(*q, added.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// engine is a discrete-event scheduler with simulated time.
type engine struct {
	now      time.Time
	queue    eventQueue
	sequence int
	random   *rand.Rand
}

func newEngine(seed uint64) *engine {
	return &engine{now: start, random: rand.New(rand.NewPCG(seed, 41))}
}

// after runs a function once the delay has passed.
func (e *engine) after(delay time.Duration, run func()) {
	e.sequence++
	heap.Push(&e.queue, event{e.now.Add(max(delay, 0)), e.sequence, run})
}

// randomDuration returns a random duration from minimum to maximum, both included.
func (e *engine) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(e.random.Int64N(int64(maximum-minimum)+1))
}

// runUntil runs the events up to the given time, or until stopped returns true.
func (e *engine) runUntil(end time.Time, stopped func() bool) {
	for len(e.queue) > 0 && !e.queue[0].at.After(end) && !stopped() {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.run()
	}
}
