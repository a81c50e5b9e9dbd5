package dataplane

import (
	"context"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/peer"
	"ferryspar/internal/quota"
)

const (
	// homeRetryInterval is the pause before the next attempt if no home shard can be called.
	homeRetryInterval = 50 * time.Millisecond
	// borrowTimeout limits a call to a home shard, not counting the time for which the home shard may hold it.
	borrowTimeout = 250 * time.Millisecond
)

// Take spends a token of the tenant. If none is left here, it borrows tokens from a home shard of the tenant. Requests of a
// tenant that arrive while a call is pending share the next call. If no home shard can answer, Take retries until the given time, or
// fails at once if this node has no contact with the control planes either: it is then cut off, and others can decide. The errors
// are of the kinds apierror.TenantRateLimited and apierror.QuotaUnknown.
func (q *Quotas) Take(ctx context.Context, tenant *configuration.Tenant, until time.Time) error {
	if limitOf(tenant).Unlimited() {
		return nil
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	startedAt := q.clock()
	q.borrower.RecordRequest(tenant.Name, startedAt)
	q.addWaiting(tenant.Name, 1)
	defer q.addWaiting(tenant.Name, -1)
	for now := startedAt; now.Before(until) && ctx.Err() == nil; now = q.clock() {
		if q.borrower.TakeToken(tenant.Name, now) {
			return nil
		}
		replied := q.requestTokens(tenant.Name, now)
		if retryAfter := q.borrower.OverLimitFor(tenant.Name, now); replied == nil && retryAfter > 0 {
			return apierror.NewRetryable(apierror.TenantRateLimited, retryAfter)
		}
		if replied == nil && !q.lender.HasFreshFleetSize(now) {
			break
		}
		q.lock.Unlock()
		awaitReply(ctx, replied)
		q.lock.Lock()
	}
	return apierror.NewRetryAtOnce(apierror.QuotaUnknown)
}

// awaitReply waits for the pending call, or for homeRetryInterval if there is none.
func awaitReply(ctx context.Context, replied <-chan struct{}) {
	timer := time.NewTimer(homeRetryInterval)
	defer timer.Stop()
	timeout := timer.C
	if replied != nil {
		timeout = nil
	}
	select {
	case <-replied:
	case <-timeout:
	case <-ctx.Done():
	}
}

// addWaiting changes the number of requests of the tenant that wait for tokens. The caller holds the lock.
func (q *Quotas) addWaiting(tenant string, change int) {
	q.waiting[tenant] += change
	if q.waiting[tenant] == 0 {
		delete(q.waiting, tenant)
	}
}

// alreadyReplied is a closed channel, which requestTokens returns if this node itself is the home shard.
var alreadyReplied = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// requestTokens borrows tokens from a home shard, unless a call for the tenant is already pending. It returns a channel that is
// closed when the call has ended, or nil if no home shard can be called now. The caller holds the lock.
func (q *Quotas) requestTokens(tenant string, now time.Time) <-chan struct{} {
	if replied := q.borrowing[tenant]; replied != nil {
		return replied
	}
	home, found := q.borrower.NextHomeShard(tenant, q.lender.HomeShards(tenant), now)
	if !found {
		return nil
	}
	hold := q.borrower.MaxHold(tenant, home, now)
	request := quota.BorrowRequest{
		Tenant: tenant,
		Tokens: q.borrower.TokensToRequest(tenant, q.waiting[tenant], now),
		HoldMs: hold.Milliseconds(),
	}
	if home == q.node {
		q.borrower.HandleReply(tenant, home, q.pool.Borrow(request, now), now, now)
		return alreadyReplied
	}
	replied := make(chan struct{})
	q.borrowing[tenant] = replied
	go q.sendBorrow(home, q.addresses[home], request, replied)
	return replied
}

// sendBorrow sends the request to a home shard and handles the reply. The call is not cancelled with the client request that
// caused it, since other requests wait for it as well; it has a timeout of its own.
func (q *Quotas) sendBorrow(home, address string, request quota.BorrowRequest, replied chan struct{}) {
	sentAt := q.clock()
	timeout := borrowTimeout + time.Duration(request.HoldMs)*time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply quota.BorrowReply
	err := q.peers.Call(ctx, peer.MethodBorrow, address, request, &reply)
	q.lock.Lock()
	defer q.lock.Unlock()
	if now := q.clock(); err != nil {
		q.borrower.HandleFailure(home, now)
	} else {
		q.borrower.HandleReply(request.Tenant, home, reply, sentAt, now)
	}
	delete(q.borrowing, request.Tenant)
	close(replied)
}
