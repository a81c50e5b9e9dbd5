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

// minLendInterval is the minimum time between two rounds of lending: replies and failures may trigger the next round immediately.
const minLendInterval = 40 * time.Millisecond

// addressedOffer is an offer of a share with the address of the home shard.
type addressedOffer struct {
	quota.Offer
	address string
}

// Run lends shares until the context ends, and returns after the calls that it has started have ended.
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

// wakeLending triggers a round of lending.
func (q *Quotas) wakeLending() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// planOffers returns the offers to send to other nodes. Offers to this node's own pool are applied directly.
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

// homeCandidates returns the nodes that may be home shards, including this one. The caller holds the lock.
func (q *Quotas) homeCandidates() []string {
	names := []string{q.node}
	for name := range q.addresses {
		if name != q.node {
			names = append(names, name)
		}
	}
	return names
}

// sendOffer sends an offer to another node and handles the reply.
func (q *Quotas) sendOffer(ctx context.Context, offer addressedOffer) {
	var reply quota.LendReply
	err := q.peers.Call(ctx, peer.MethodLend, offer.address, offer.Request, &reply)
	q.lock.Lock()
	defer q.lock.Unlock()
	if err != nil {
		q.lender.HandleFailure(offer.HomeShard, q.clock())
		logrus.WithError(err).WithField("peer", offer.HomeShard).Debug("no response from quota home shard")
		q.wakeLending()
		return
	}
	if q.lender.HandleReply(offer.HomeShard, reply, q.clock()) {
		q.wakeLending()
	}
}

// handleLend accepts the shares that another node lends to this node as a home shard.
func (q *Quotas) handleLend(_ context.Context, request quota.LendRequest) quota.LendReply {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.pool.Lend(request, q.clock())
}
