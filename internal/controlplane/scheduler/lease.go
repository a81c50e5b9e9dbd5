package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/nodesettings"
)

const (
	// orderLeaseMargin is how much longer the lease must last when an order is sent: no order may be under way once
	// another node holds the lease.
	orderLeaseMargin = 800 * time.Millisecond
	// renewInterval is the time between two renewals of the lease, or two attempts to take it.
	renewInterval = 300 * time.Millisecond
	// acquireTimeout bounds one attempt to take the lease.
	acquireTimeout = 1200 * time.Millisecond
	// acquireMargin is added to the length of a lease before any other node tries to take it.
	acquireMargin = 200 * time.Millisecond
	// previousHolderHeadStart is how much longer another node waits while the previous holder is reachable. That one
	// need not wait for the end of another's orders, as every other successor must.
	previousHolderHeadStart = 400 * time.Millisecond
	// seedStartDelay is by how much each seed's first attempt follows that of the seed before it.
	seedStartDelay = 250 * time.Millisecond
	// maxStartJitter and maxRetryJitter bound the random delays of the first attempt and after a failed one.
	maxStartJitter = 200 * time.Millisecond
	maxRetryJitter = 300 * time.Millisecond
)

// LeaseElector takes, renews and releases the placement lease. Any goroutine may use it.
type LeaseElector struct {
	config    LeaseConfig
	clock     func() time.Time
	startedAt time.Time
	current   atomic.Pointer[lease.Grant]
	// released is closed once the lease has been given up because the node leaves.
	released chan struct{}
	// unusable has room for one grant that is to be given up and the lease acquired under a new fence.
	unusable chan unusableGrant

	// lock guards holderSeenAt.
	lock         sync.Mutex
	holderSeenAt time.Time
}

func newLeaseElector(config LeaseConfig, clock func() time.Time, startedAt time.Time) *LeaseElector {
	return &LeaseElector{
		config:    config,
		clock:     clock,
		startedAt: startedAt,
		released:  make(chan struct{}),
		unusable:  make(chan unusableGrant, 1),
	}
}

// Holds tells whether this node holds the lease now.
func (k *LeaseElector) Holds() bool {
	grant := k.current.Load()
	return grant != nil && k.clock().Before(grant.ExpiresAt)
}

// Grant is the grant that this node has, renewed last; nil if it has none. It may have expired.
func (k *LeaseElector) Grant() *lease.Grant { return k.current.Load() }

// Released is closed once the lease has been given up because the node leaves.
func (k *LeaseElector) Released() <-chan struct{} { return k.released }

// RecordHolderSeen records that another holder of the lease was heard from now.
func (k *LeaseElector) RecordHolderSeen() {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.holderSeenAt = k.clock()
}

// ForgetHolder makes the lease worth trying for at once: its holder has announced that it leaves.
func (k *LeaseElector) ForgetHolder() {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.holderSeenAt = time.Time{}
}

// run takes the lease where nobody holds it and renews it, until the context ends or the node leaves.
func (k *LeaseElector) run(ctx context.Context) {
	nodesettings.Sleep(ctx, rand.N(maxStartJitter)+time.Duration(k.config.SeedRank)*seedStartDelay)
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.config.Leaving:
			k.release(ctx)
			return
		case found := <-k.unusable:
			// What was given up is acquired anew below, without waiting for the next tick.
			k.giveUp(ctx, found)
		case <-ticker.C:
		}
		if grant := k.current.Load(); grant != nil {
			k.current.Store(k.config.Manager.Renew(ctx, grant))
			continue
		}
		if k.mayAcquire() {
			k.acquire(ctx)
		}
	}
}

// acquire tries to take the lease once, and waits a little after a failure.
func (k *LeaseElector) acquire(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, acquireTimeout)
	grant, err := k.config.Manager.Acquire(bounded)
	cancel()
	if err != nil {
		nodesettings.Sleep(ctx, rand.N(maxRetryJitter))
		return
	}
	k.current.Store(grant)
}

// mayAcquire tells whether this node should try to take the lease: the cluster allows it, and no holder was heard from for
// longer than a lease lasts.
func (k *LeaseElector) mayAcquire() bool {
	now := k.clock()
	if !k.config.Cluster.MayAcquireLease(now) {
		return false
	}
	k.lock.Lock()
	lastSeen := k.holderSeenAt
	k.lock.Unlock()
	timeout := k.config.Manager.TTL + acquireMargin
	if k.config.Cluster.IsLeaseHolderReachable(now) {
		timeout += previousHolderHeadStart
		if lastSeen.Before(k.startedAt) {
			// A node that has just started can't have heard of the holder yet.
			lastSeen = k.startedAt
		}
	}
	return now.Sub(lastSeen) > timeout
}

// release gives the lease up for good.
func (k *LeaseElector) release(ctx context.Context) {
	defer close(k.released)
	if k.current.Swap(nil) != nil {
		k.releaseAfterOrders(ctx)
	}
}

// reserve writes a reservation of loads into the record of a grant.
func (k *LeaseElector) reserve(ctx context.Context, grant *lease.Grant, reservation loadbudget.Reservation) error {
	return k.config.Manager.Reserve(ctx, grant, reservation)
}

// unusableGrant is the fence of a grant that can be renewed and is of no use, and why.
type unusableGrant struct {
	fence  uint64
	reason string
}

// reportUnwritable has the lease of a grant given up whose record cannot be written any more though it can be renewed, as when a
// member that promised it has lost its disk, so that it can be taken under a new proposal number.
func (k *LeaseElector) reportUnwritable(grant *lease.Grant) {
	k.reportUnusable(unusableGrant{grant.Record.Fence, "its record cannot be written"})
}

// ReportFenced has the lease given up under whose fence an order was refused, since a higher one was seen. To order again under the
// same fence would be refused for ever.
func (k *LeaseElector) ReportFenced(fence uint64) {
	k.reportUnusable(unusableGrant{fence, "a higher fence was seen"})
}

func (k *LeaseElector) reportUnusable(found unusableGrant) {
	select {
	case k.unusable <- found:
	default:
	}
}

// giveUp releases a lease so that it is acquired again, under a higher fence.
func (k *LeaseElector) giveUp(ctx context.Context, found unusableGrant) {
	if current := k.current.Load(); current == nil || current.Record.Fence != found.fence {
		return
	}
	logrus.WithFields(logrus.Fields{"fence": found.fence, "reason": found.reason}).Info("lease released to be acquired again")
	k.current.Store(nil)
	k.releaseAfterOrders(ctx)
}

// releaseAfterOrders releases the lease once no order under it can be under way.
func (k *LeaseElector) releaseAfterOrders(ctx context.Context) {
	nodesettings.Sleep(ctx, orderLeaseMargin)
	if err := k.config.Manager.Release(ctx); err != nil {
		logrus.WithError(err).Info("lease not released, it will expire")
	}
}
