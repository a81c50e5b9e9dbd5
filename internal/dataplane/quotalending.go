package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/quota"
)

// minLendInterval is the least time between two rounds of lending: responses and failures may ask for another at once.
const minLendInterval = 40 * time.Millisecond

// addressedOffer is a share to be lent, and the address of the node that it is lent to.
type addressedOffer struct {
	quota.Offer
	address string
}

// Run lends until the context ends, and returns once the calls that it has started are over.
func (q *Quotas) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(q.parameters.RenewalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-q.wake:
		}
		for _, offer := range q.planOffers() {
			calls.Go(func() { q.sendOffer(ctx, offer) })
		}
		nodesettings.Sleep(ctx, minLendInterval)
	}
}

// wakeLending has Run lend at once.
func (q *Quotas) wakeLending() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// planOffers says what is to be lent to whom. What is lent to the node's own pool is lent at once.
func (q *Quotas) planOffers() []addressedOffer {
	q.lock.Lock()
	defer q.lock.Unlock()
	now := q.clock()
	q.borrower.DropIdle(now)
	if !q.limited {
		return nil
	}
	var planned []addressedOffer
	for _, offer := range q.lender.Plan(q.homeCandidates(), now) {
		if offer.HomeShard != q.node {
			planned = append(planned, addressedOffer{Offer: offer, address: q.addresses[offer.HomeShard]})
			continue
		}
		if q.lender.HandleReply(q.node, q.pool.Lend(offer.Request, now), now) {
			q.wakeLending()
		}
	}
	return planned
}

// homeCandidates are this node and the others that may be homes. The caller holds the lock.
func (q *Quotas) homeCandidates() []string {
	names := []string{q.node}
	for name := range q.addresses {
		if name != q.node {
			names = append(names, name)
		}
	}
	return names
}

// sendOffer lends to another node.
func (q *Quotas) sendOffer(ctx context.Context, offer addressedOffer) {
	var reply quota.LendReply
	err := q.peers.Call(ctx, peer.MethodLend, offer.address, offer.Request, &reply)
	q.lock.Lock()
	defer q.lock.Unlock()
	if err != nil {
		q.lender.HandleFailure(offer.HomeShard, q.clock())
		logrus.WithError(err).WithField("peer", offer.HomeShard).Debug("quota home gave no response")
		q.wakeLending()
		return
	}
	if q.lender.HandleReply(offer.HomeShard, reply, q.clock()) {
		q.wakeLending()
	}
}

// handleLend takes what another node lends to this one as a home.
func (q *Quotas) handleLend(_ context.Context, request quota.LendRequest) quota.LendReply {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.pool.Lend(request, q.clock())
}
