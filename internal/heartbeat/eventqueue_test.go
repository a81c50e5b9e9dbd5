package heartbeat_test

import "time"

// event is something that happens at a time of the simulation; of several at the same time the one that was
// scheduled first does.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// eventQueue implements heap.Interface, the next event first.
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
