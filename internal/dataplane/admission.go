package dataplane

import (
	"context"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/peer"
	"ferryspar/internal/proxy"
	"ferryspar/internal/quota"
)

const (
	// minQuotaTimeout is how long any request may wait for calls to its tenant's homes.
	minQuotaTimeout = 600 * time.Millisecond
	// homeRetryInterval is the pause after which homes are looked for again that can tell what the tenant may send.
	homeRetryInterval = 50 * time.Millisecond
	// unknownRetryAfter is when a request may try again whose tenant's homes give no answer.
	unknownRetryAfter = 200 * time.Millisecond
)

// Take spends a token of the tenant, and asks a home for some where there is none here. Requests of a tenant that come while
// a home is asked share the next call. Where no home can tell, it looks again until the patience is over.
func (q *Quotas) Take(ctx context.Context, tenant *configuration.Tenant, timeouts proxy.QuotaTimeouts) error {
	if limitOf(tenant).Unlimited() {
		return nil
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	startedAt := q.clock()
	q.borrower.RecordRequest(tenant.Name, startedAt)
	q.addWaiting(tenant.Name, 1)
	defer q.addWaiting(tenant.Name, -1)
	for now := startedAt; now.Sub(startedAt) < max(timeouts.Fleet, minQuotaTimeout) && ctx.Err() == nil; now = q.clock() {
		if q.borrower.TakeToken(tenant.Name, now) {
			return nil
		}
		reply := q.requestTokens(tenant.Name, now)
		if retryAfter := q.borrower.OverLimitFor(tenant.Name, now); reply == nil && retryAfter > 0 {
			return apierror.NewRetryable(apierror.TenantRateLimited, retryAfter)
		}
		if reply == nil && now.Sub(startedAt) > timeouts.Local && !q.lender.HasFreshFleetSize(now) {
			break
		}
		q.lock.Unlock()
		awaitReply(ctx, reply)
		q.lock.Lock()
	}
	return apierror.NewRetryable(apierror.QuotaUnknown, unknownRetryAfter)
}

// awaitReply waits for the answer that is under way, or for a short while where there is none.
func awaitReply(ctx context.Context, reply <-chan struct{}) {
	timer := time.NewTimer(homeRetryInterval)
	defer timer.Stop()
	timeout := timer.C
	if reply != nil {
		timeout = nil
	}
	select {
	case <-reply:
	case <-timeout:
	case <-ctx.Done():
	}
}

// wait counts the requests of the tenant that wait for tokens. The caller holds the lock.
func (q *Quotas) addWaiting(tenant string, more int) {
	q.waiting[tenant] += more
	if q.waiting[tenant] == 0 {
		delete(q.waiting, tenant)
	}
}

// closedChannel is what ask returns where nobody had to be waited for.
var closedChannel = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// ask asks a home for tokens, unless a call is under way for the tenant, and returns what is closed when it was
// subscribeResult; nil where no home is to be asked now. The caller holds the lock.
func (q *Quotas) requestTokens(tenant string, now time.Time) <-chan struct{} {
	if replied := q.borrowing[tenant]; replied != nil {
		return replied
	}
	home, found := q.borrower.NextHomeShard(tenant, q.lender.HomeShards(tenant), now)
	if !found {
		return nil
	}
	request := quota.BorrowRequest{Tenant: tenant, Want: q.borrower.TokensToRequest(tenant, q.waiting[tenant], now)}
	if home == q.name {
		q.borrower.HandleReply(tenant, home, q.pool.Borrow(request, now), now, now)
		return closedChannel
	}
	replied := make(chan struct{})
	q.borrowing[tenant] = replied
	go q.sendBorrow(home, q.addresses[home], request, replied)
	return replied
}

// borrow calls a home. It isn't bound to the request that it began with, since others wait for it too.
func (q *Quotas) sendBorrow(home, address string, request quota.BorrowRequest, replied chan struct{}) {
	sentAt := q.clock()
	var reply quota.BorrowReply
	err := q.peers.Call(context.Background(), peer.MethodBorrow, address, request, &reply)
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
