package dataplane

import (
	"context"
	"slices"
	"time"

	"ferryspar/internal/quota"
)

const (
	// maxBorrowHold is the maximum time that this node holds a request for tokens.
	maxBorrowHold = 500 * time.Millisecond
	// heldCheckInterval is the maximum time between two attempts to serve a held request.
	heldCheckInterval = 25 * time.Millisecond
	// minHeldWait is the minimum time between two such attempts.
	minHeldWait = time.Millisecond
)

// borrowQueues holds a FIFO queue of held requests for tokens per tenant. The lock of Quotas guards it.
type borrowQueues map[string][]*heldBorrow

// heldBorrow is a held request for tokens.
type heldBorrow struct {
	// headReached is closed when the request is at the head of its queue.
	headReached chan struct{}
}

// enqueue appends a request to the tenant's queue.
func (b borrowQueues) enqueue(tenant string) *heldBorrow {
	held := &heldBorrow{headReached: make(chan struct{})}
	b[tenant] = append(b[tenant], held)
	if len(b[tenant]) == 1 {
		close(held.headReached)
	}
	return held
}

// remove removes a request. If it was at the head, the next one becomes the head.
func (b borrowQueues) remove(tenant string, held *heldBorrow) {
	queue := b[tenant]
	wasHead := queue[0] == held
	queue = slices.DeleteFunc(queue, func(other *heldBorrow) bool { return other == held })
	if len(queue) == 0 {
		delete(b, tenant)
		return
	}
	b[tenant] = queue
	if wasHead {
		close(queue[0].headReached)
	}
}

// isHead reports whether the request is at the head of its queue.
func (h *heldBorrow) isHead() bool {
	select {
	case <-h.headReached:
		return true
	default:
		return false
	}
}

// handleBorrow serves another node's request for tokens from this node's pool, as a home shard. While loans to the pool are still
// arriving, a request that cannot be served is held for as long as its sender and maxBorrowHold allow, so that the sender need
// not poll. Requests for a tenant are served in order of arrival.
func (q *Quotas) handleBorrow(ctx context.Context, request quota.BorrowRequest) quota.BorrowReply {
	receivedAt := q.clock()
	until := receivedAt.Add(min(time.Duration(request.HoldMs)*time.Millisecond, maxBorrowHold))
	q.lock.Lock()
	defer q.lock.Unlock()
	held := q.held.enqueue(request.Tenant)
	defer q.held.remove(request.Tenant, held)
	for {
		reply := quota.BorrowReply{Unavailable: true}
		now := q.clock()
		if held.isHead() {
			reply = q.pool.Borrow(request, now)
		}
		if !reply.Unavailable || !now.Before(until) || ctx.Err() != nil {
			reply.HeldMs = now.Sub(receivedAt).Milliseconds()
			return reply
		}
		wait := min(q.pool.TimeToNextToken(request.Tenant, heldCheckInterval, now), until.Sub(now))
		q.lock.Unlock()
		awaitTurn(ctx, held, max(wait, minHeldWait))
		q.lock.Lock()
	}
}

// awaitTurn waits for the given time, or until a request that was not at the head of its queue reaches it.
func awaitTurn(ctx context.Context, held *heldBorrow, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	turn := held.headReached
	if held.isHead() {
		turn = nil
	}
	select {
	case <-timer.C:
	case <-turn:
	case <-ctx.Done():
	}
}
