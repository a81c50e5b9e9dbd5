package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a moment; those of one moment happen in the order in which they were added.
type event struct {
	at     time.Time
	number int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(left, right int) bool {
	if !q[left].at.Equal(q[right].at) {
		return q[left].at.Before(q[right].at)
	}
	return q[left].number < q[right].number
}

func (q eventQueue) Swap(left, right int) { q[left], q[right] = q[right], q[left] }

func (q *eventQueue) Push(added any) { *q = append(*q, added.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// engine is simulated time.
type engine struct {
	now    time.Time
	queue  eventQueue
	number int
	random *rand.Rand
}

func newEngine(seed uint64) *engine {
	return &engine{now: start, random: rand.New(rand.NewPCG(seed, 41))}
}

// after has something happen once a time has passed.
func (e *engine) after(delay time.Duration, run func()) {
	e.number++
	heap.Push(&e.queue, event{e.now.Add(max(delay, 0)), e.number, run})
}

// between draws a time.
func (e *engine) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(e.random.Int64N(int64(maximum-minimum)+1))
}

// runUntil lets time pass up to a moment, or until stopped reports true.
func (e *engine) runUntil(end time.Time, stopped func() bool) {
	for len(e.queue) > 0 && !e.queue[0].at.After(end) && !stopped() {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.run()
	}
}
