package dataplane

import (
	"context"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/client"
	"ferryspar/internal/configuration"
	"ferryspar/internal/quota"
)

const (
	// leastPatience is how long any request may wait for calls to its tenant's homes.
	leastPatience = 600 * time.Millisecond
	// unableLook is the pause after which homes are looked for again that can tell what the tenant may send.
	unableLook = 50 * time.Millisecond
	// unknownRetry is when a request may try again whose tenant's homes give no answer.
	unknownRetry = 200 * time.Millisecond
)

// Take spends a token of the tenant, and asks a home for some where there is none here. Requests of a tenant that come while
// a home is asked share the next call. Where no home can tell, it looks again until the patience is over.
func (q *Quotas) Take(ctx context.Context, tenant *configuration.Tenant, patience client.QuotaPatience) error {
	if limitOf(tenant).Unlimited() {
		return nil
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	began := q.clock()
	q.borrower.RecordRequest(tenant.Name, began)
	q.wait(tenant.Name, 1)
	defer q.wait(tenant.Name, -1)
	for now := began; now.Sub(began) < max(patience.Together, leastPatience) && ctx.Err() == nil; now = q.clock() {
		if q.borrower.TakeToken(tenant.Name, now) {
			return nil
		}
		answered := q.ask(tenant.Name, now)
		if left := q.borrower.OverLimitFor(tenant.Name, now); answered == nil && left > 0 {
			return apierror.NewRetryable(apierror.TenantRateLimited, left)
		}
		if answered == nil && now.Sub(began) > patience.Alone && !q.lender.HasFreshFleetSize(now) {
			break
		}
		q.lock.Unlock()
		pause(ctx, answered)
		q.lock.Lock()
	}
	return apierror.NewRetryable(apierror.QuotaUnknown, unknownRetry)
}

// pause waits for the answer that is under way, or for a short while where there is none.
func pause(ctx context.Context, answered <-chan struct{}) {
	timer := time.NewTimer(unableLook)
	defer timer.Stop()
	over := timer.C
	if answered != nil {
		over = nil
	}
	select {
	case <-answered:
	case <-over:
	case <-ctx.Done():
	}
}

// wait counts the requests of the tenant that wait for tokens. The caller holds the lock.
func (q *Quotas) wait(tenant string, more int) {
	q.pending[tenant] += more
	if q.pending[tenant] == 0 {
		delete(q.pending, tenant)
	}
}

// answeredAtOnce is what ask returns where nobody had to be waited for.
var answeredAtOnce = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// ask asks a home for tokens, unless a call is under way for the tenant, and returns what is closed when it was
// answered; nil where no home is to be asked now. The caller holds the lock.
func (q *Quotas) ask(tenant string, now time.Time) <-chan struct{} {
	if answered := q.asking[tenant]; answered != nil {
		return answered
	}
	home, found := q.borrower.NextHomeShard(tenant, q.lender.HomeShards(tenant), now)
	if !found {
		return nil
	}
	question := quota.BorrowRequest{Tenant: tenant, Want: q.borrower.TokensToRequest(tenant, q.pending[tenant], now)}
	if home == q.name {
		q.borrower.HandleReply(tenant, home, q.pool.Borrow(question, now), now, now)
		return answeredAtOnce
	}
	answered := make(chan struct{})
	q.asking[tenant] = answered
	go q.borrow(home, q.addresses[home], question, answered)
	return answered
}

// borrow calls a home. It isn't bound to the request that it began with, since others wait for it too.
func (q *Quotas) borrow(home, address string, question quota.BorrowRequest, answered chan struct{}) {
	asked := q.clock()
	var reply quota.BorrowReply
	err := q.peers.Ask(context.Background(), "borrow", address, question, &reply)
	q.lock.Lock()
	defer q.lock.Unlock()
	if now := q.clock(); err != nil {
		q.borrower.HandleFailure(home, now)
	} else {
		q.borrower.HandleReply(question.Tenant, home, reply, asked, now)
	}
	delete(q.asking, question.Tenant)
	close(answered)
}
