package heartbeat_test

import "time"

// event is a function to run at a simulated time. Events at the same time run in the order in which they were scheduled.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// eventQueue is a priority queue of events by time. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(left, right int) bool {
	if q[left].at.Equal(q[right].at) {
		return q[left].order < q[right].order
	}
	return q[left].at.Before(q[right].at)
}

func (q eventQueue) Swap(left, right int) { q[left], q[right] = q[right], q[left] }

func (q *eventQueue) Push(pushed any) { *q = append(*q, pushed.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
