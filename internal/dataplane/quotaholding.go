package dataplane

import (
	"context"
	"slices"
	"time"

	"ferryspar/internal/quota"
)

const (
	// maxBorrowHold is the longest time that a request for tokens is held here.
	maxBorrowHold = 500 * time.Millisecond
	// heldCheckInterval is how often a held request is tried again at least.
	heldCheckInterval = 25 * time.Millisecond
	// minHeldWait is the least time between two tries.
	minHeldWait = time.Millisecond
)

// borrowQueues are the requests for tokens that are held, by tenant, the first come first. The lock of Quotas guards them.
type borrowQueues map[string][]*heldBorrow

// heldBorrow is a request that is held.
type heldBorrow struct {
	// first is closed when all that came before are over.
	first chan struct{}
}

// join adds a request.
func (b borrowQueues) join(tenant string) *heldBorrow {
	held := &heldBorrow{first: make(chan struct{})}
	b[tenant] = append(b[tenant], held)
	if len(b[tenant]) == 1 {
		close(held.first)
	}
	return held
}

// leave removes a request and lets the next one try.
func (b borrowQueues) leave(tenant string, held *heldBorrow) {
	queue := b[tenant]
	wasFirst := queue[0] == held
	queue = slices.DeleteFunc(queue, func(other *heldBorrow) bool { return other == held })
	if len(queue) == 0 {
		delete(b, tenant)
		return
	}
	b[tenant] = queue
	if wasFirst {
		close(queue[0].first)
	}
}

// isFirst reports whether nobody came before the request.
func (h *heldBorrow) isFirst() bool {
	select {
	case <-h.first:
		return true
	default:
		return false
	}
}

// handleBorrow gives another node tokens from this one's pool as a home. While shares are on their way to the pool a request
// is held, if its sender lets it be, so that it is not sent over and over; requests for a tenant are served in their order.
func (q *Quotas) handleBorrow(ctx context.Context, request quota.BorrowRequest) quota.BorrowReply {
	receivedAt := q.clock()
	until := receivedAt.Add(min(time.Duration(request.HoldMs)*time.Millisecond, maxBorrowHold))
	q.lock.Lock()
	defer q.lock.Unlock()
	held := q.held.join(request.Tenant)
	defer q.held.leave(request.Tenant, held)
	for {
		reply := quota.BorrowReply{Unavailable: true}
		now := q.clock()
		if held.isFirst() {
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

// awaitTurn waits for a time, or until a request that was not the first becomes it.
func awaitTurn(ctx context.Context, held *heldBorrow, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	turn := held.first
	if held.isFirst() {
		turn = nil
	}
	select {
	case <-timer.C:
	case <-turn:
	case <-ctx.Done():
	}
}
