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
	// orderLeaseMargin is the minimum remaining validity of the lease when an order is sent, so that no order is in flight
	// once another node holds the lease.
	orderLeaseMargin = 800 * time.Millisecond
	// renewInterval is the interval between lease renewals, or between attempts to acquire the lease.
	renewInterval = 300 * time.Millisecond
	// acquireTimeout bounds one attempt to acquire the lease.
	acquireTimeout = 1200 * time.Millisecond
	// acquireMargin is added to the lease duration before another node tries to acquire the lease.
	acquireMargin = 200 * time.Millisecond
	// previousHolderPriorityDelay is how much longer other nodes wait before they try to acquire the lease while its previous
	// holder is reachable. Unlike any other successor, the previous holder need not wait for another node's orders to finish.
	previousHolderPriorityDelay = 400 * time.Millisecond
	// seedStartDelay is the delay between the first attempts of consecutive seeds.
	seedStartDelay = 250 * time.Millisecond
	// maxStartJitter and maxRetryJitter bound the random delays before the first attempt and after a failed one.
	maxStartJitter = 200 * time.Millisecond
	maxRetryJitter = 300 * time.Millisecond
)

// LeaseElector acquires, renews and releases the placement lease. It is safe for concurrent use.
type LeaseElector struct {
	config    LeaseConfig
	clock     func() time.Time
	startedAt time.Time
	current   atomic.Pointer[lease.Grant]
	// released is closed after the lease has been released because the node is shutting down.
	released chan struct{}
	// unusable is a queue of one grant to be released so that the lease is acquired under a new fence.
	unusable chan unusableGrant

	// lock guards lastHolderContact.
	lock              sync.Mutex
	lastHolderContact time.Time
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

// Holds reports whether this node holds the lease now.
func (e *LeaseElector) Holds() bool {
	grant := e.current.Load()
	return grant != nil && e.clock().Before(grant.ExpiresAt)
}

// Grant returns this node's most recently renewed grant, or nil if it has none. The grant may have expired.
func (e *LeaseElector) Grant() *lease.Grant { return e.current.Load() }

// Released returns a channel that is closed after the lease has been released because the node is shutting down.
func (e *LeaseElector) Released() <-chan struct{} { return e.released }

// RecordHolderContact records that another lease holder was heard from now.
func (e *LeaseElector) RecordHolderContact() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.lastHolderContact = e.clock()
}

// RecordHolderShutdown records that the lease holder has announced that it is shutting down, which allows an immediate attempt
// to acquire the lease.
func (e *LeaseElector) RecordHolderShutdown() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.lastHolderContact = time.Time{}
}

// run acquires the lease when nobody holds it and renews it, until the context ends or the node shuts down.
func (e *LeaseElector) run(ctx context.Context) {
	nodesettings.Sleep(ctx, rand.N(maxStartJitter)+time.Duration(e.config.SeedRank)*seedStartDelay)
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.config.Leaving:
			e.release(ctx)
			return
		case found := <-e.unusable:
			// The lease is acquired again below, without waiting for the next tick.
			e.releaseForReacquisition(ctx, found)
		case <-ticker.C:
		}
		if grant := e.current.Load(); grant != nil {
			e.current.Store(e.config.Manager.Renew(ctx, grant))
			continue
		}
		if e.mayAcquire() {
			e.acquire(ctx)
		}
	}
}

// acquire tries once to acquire the lease and pauses briefly after a failure.
func (e *LeaseElector) acquire(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, acquireTimeout)
	grant, err := e.config.Manager.Acquire(bounded)
	cancel()
	if err != nil {
		nodesettings.Sleep(ctx, rand.N(maxRetryJitter))
		return
	}
	e.current.Store(grant)
}

// mayAcquire reports whether this node should try to acquire the lease: the cluster allows it, and no holder has been heard
// from for longer than the lease duration.
func (e *LeaseElector) mayAcquire() bool {
	now := e.clock()
	if !e.config.Cluster.MayAcquireLease(now) {
		return false
	}
	e.lock.Lock()
	lastSeen := e.lastHolderContact
	e.lock.Unlock()
	timeout := e.config.Manager.TTL + acquireMargin
	if e.config.Cluster.IsLeaseHolderReachable(now) {
		timeout += previousHolderPriorityDelay
		if lastSeen.Before(e.startedAt) {
			// A node that has just started cannot have heard from the holder yet.
			lastSeen = e.startedAt
		}
	}
	return now.Sub(lastSeen) > timeout
}

// release releases the lease permanently.
func (e *LeaseElector) release(ctx context.Context) {
	defer close(e.released)
	if e.current.Swap(nil) != nil {
		e.releaseAfterOrders(ctx)
	}
}

// reserve writes a load reservation to the record of a grant.
func (e *LeaseElector) reserve(ctx context.Context, grant *lease.Grant, reservation loadbudget.Reservation) error {
	return e.config.Manager.Reserve(ctx, grant, reservation)
}

// unusableGrant identifies, by its fence, a grant that can be renewed but not used, and gives the reason.
type unusableGrant struct {
	fence  uint64
	reason string
}

// reportUnwritable requests the release of a grant whose record can no longer be written although it can be renewed, as when a
// member that promised it has lost its disk. The lease can then be acquired under a new proposal number.
func (e *LeaseElector) reportUnwritable(grant *lease.Grant) {
	e.reportUnusable(unusableGrant{grant.Record.Fence, "its record cannot be written"})
}

// ReportFenced requests the release of the lease because an order under the given fence was rejected in favour of a higher
// fence. All further orders under the same fence would be rejected as well.
func (e *LeaseElector) ReportFenced(fence uint64) {
	e.reportUnusable(unusableGrant{fence, "a higher fence was seen"})
}

func (e *LeaseElector) reportUnusable(found unusableGrant) {
	select {
	case e.unusable <- found:
	default:
	}
}

// releaseForReacquisition releases the lease so that it is acquired again under a higher fence.
func (e *LeaseElector) releaseForReacquisition(ctx context.Context, found unusableGrant) {
	if current := e.current.Load(); current == nil || current.Record.Fence != found.fence {
		return
	}
	logrus.WithFields(logrus.Fields{
		"fence":  found.fence,
		"reason": found.reason,
	}).Info("lease released for re-acquisition under a higher fence")
	e.current.Store(nil)
	e.releaseAfterOrders(ctx)
}

// releaseAfterOrders releases the lease once no order under it can still be in flight.
func (e *LeaseElector) releaseAfterOrders(ctx context.Context) {
	nodesettings.Sleep(ctx, orderLeaseMargin)
	if err := e.config.Manager.Release(ctx); err != nil {
		logrus.WithError(err).Info("lease not released, it will expire")
	}
}
