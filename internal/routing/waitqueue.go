package routing

import (
	"cmp"
	"slices"
	"time"
)

// waitQueue holds the undecided requests and the times at which they must be tried.
type waitQueue struct {
	requests   []*Request // sorted by compareRank
	unbatched  int        // how many of them have not been in a batch yet
	batchDueAt time.Time  // when the batch of the unbatched requests is due
	retryAt    time.Time  // when all requests are retried
	servable   []*Request // buffer of servableAt
	fairness   fairQueue
}

// compareRank orders requests by priority, then by the start tag of fair queueing, then by slack: the time until their latest start.
func compareRank(left, right *Request) int {
	if left.Priority != right.Priority {
		return left.Priority - right.Priority
	}
	return cmp.Or(cmp.Compare(left.startTag, right.startTag), left.latestStart().Compare(right.latestStart()))
}

func (q *waitQueue) len() int { return len(q.requests) }

// insert adds a request behind those of equal rank.
func (q *waitQueue) insert(request *Request) {
	request.startTag = q.fairness.startTag(request.Tenant)
	at, _ := slices.BinarySearchFunc(q.requests, request, func(queued, added *Request) int {
		if compareRank(queued, added) <= 0 {
			return -1
		}
		return 1
	})
	q.requests = slices.Insert(q.requests, at, request)
}

// lowest returns the request that is served last. The queue must not be empty.
func (q *waitQueue) lowest() *Request { return q.requests[len(q.requests)-1] }

func (q *waitQueue) removeDecided() {
	undecided := q.requests[:0]
	for _, request := range q.requests {
		if !request.decided {
			undecided = append(undecided, request)
		}
	}
	clear(q.requests[len(undecided):])
	q.requests = undecided
}

// servableAt returns the requests whose model is loaded at the replica at a position of the index. The
// result is valid until the next call; the caller clears it after use.
func (q *waitQueue) servableAt(index *Index, position int) []*Request {
	q.servable = q.servable[:0]
	for _, request := range q.requests {
		if request.isLoadedAt(index, position) {
			q.servable = append(q.servable, request)
		}
	}
	return q.servable
}

// startRound records that all requests are tried now, and sorts them by what is known now of their remaining work.
func (q *waitQueue) startRound(now time.Time) {
	slices.SortStableFunc(q.requests, compareRank)
	q.unbatched = 0
	q.retryAt = now.Add(retryInterval)
}

// nextWake returns the time until a request has to be decided or retried, or idleWake if none waits.
func (q *waitQueue) nextWake(clock func() time.Time) time.Duration {
	if q.unbatched > 0 {
		return max(q.batchDueAt.Sub(clock()), 0)
	}
	if len(q.requests) > 0 {
		return max(q.retryAt.Sub(clock()), 0)
	}
	return idleWake
}
