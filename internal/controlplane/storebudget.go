package controlplane

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
)

const (
	// maxLoadStartDelay is how much longer than the period a load counts, since it may begin late.
	maxLoadStartDelay = time.Second
	// reservationTimeout bounds one write of a reservation, so that renewals of the lease do not wait long.
	reservationTimeout = 500 * time.Millisecond
)

// pendingReservation is one that is to be written into the record of a grant.
type pendingReservation struct {
	grant       *lease.Grant
	reservation loadbudget.Reservation
}

// loadBudget is the budget of loads from the store of weights, and the writing of its reservations.
type loadBudget struct {
	lock   sync.Mutex
	budget loadbudget.Budget
	bounds loadbudget.Bounds
	// due has room for the one reservation that is proposed at a time.
	pending chan pendingReservation
	// stuck has room for the grant whose record cannot be written any more.
	unwritable chan *lease.Grant
}

func newLoadBudget() loadBudget {
	return loadBudget{pending: make(chan pendingReservation, 1), unwritable: make(chan *lease.Grant, 1)}
}

// loadBounds are the bounds of loads from the store by the settings and the configuration.
func (s *Scheduler) loadBounds(table *configuration.Table) loadbudget.Bounds {
	rate := 0.0
	for _, backend := range table.Configuration.Backends {
		if backend.Runtime != nil {
			rate = max(rate, backend.Runtime.LoadsPerS)
		}
	}
	return loadbudget.NewBounds(rate, nodesettings.Seconds(s.node.settings.TimingBounds.OriginPeriodS), maxLoadStartDelay)
}

// loadTokens is how many loads from the store may begin now under the grant held; it may be below 0.
func (s *Scheduler) loadTokens(now time.Time, table *configuration.Table) float64 {
	grant := s.currentGrant.Load()
	if grant == nil {
		return 0
	}
	store := &s.loadBudget
	store.lock.Lock()
	defer store.lock.Unlock()
	store.bounds = s.loadBounds(table)
	store.adoptGrant(grant, s.lastActionBefore(grant))
	for _, id := range store.budget.Pending() {
		if tracked := s.tracked[id]; tracked == nil || !tracked.state.MayStart() {
			store.budget.MarkStarted(id, now)
		}
	}
	store.proposeReservation(grant, now)
	return float64(store.budget.Available(now, store.bounds))
}

// lastActionBefore is a moment after which no holder before the grant begins a load.
func (s *Scheduler) lastActionBefore(grant *lease.Grant) time.Time {
	if grant.FollowsOwnRestart() && s.node.startedAt.Before(grant.GrantedAt) {
		return s.node.startedAt
	}
	return grant.GrantedAt
}

// follow begins the budget of a grant that was not seen before. The caller holds the lock.
func (b *loadBudget) adoptGrant(grant *lease.Grant, lastAct time.Time) {
	if b.budget.Fence() == grant.Record.Fence {
		return
	}
	b.budget.TakeOver(loadbudget.Takeover{
		Fence: grant.Record.Fence, PredecessorStoppedAt: lastAct, Reserved: grant.Record.Reserved, ContinuesFence: grant.ContinuesFence,
	}, b.bounds)
}

// propose has a reservation written if one is due. The caller holds the lock.
func (b *loadBudget) proposeReservation(grant *lease.Grant, now time.Time) {
	if grant == nil || b.budget.Fence() != grant.Record.Fence {
		return
	}
	loads, due := b.budget.Propose(now, b.bounds)
	if !due {
		return
	}
	select {
	case <-b.pending: // one of a grant before, which nobody needs any more
	default:
	}
	select {
	case b.pending <- pendingReservation{grant: grant, reservation: loads}:
	default:
	}
}

// loadsFromStore says whether an action loads weights from the store.
func loadsFromStore(action placement.Action) bool {
	return action.Load && action.FromStore && !strings.Contains(action.Model, "/")
}

// recordOrderedLoad counts a load that is about to be ordered.
func (s *Scheduler) recordOrderedLoad(action placement.Action, now time.Time) {
	if !loadsFromStore(action) {
		return
	}
	s.loadBudget.lock.Lock()
	defer s.loadBudget.lock.Unlock()
	s.loadBudget.budget.MarkOrdered(action.Server)
	s.loadBudget.proposeReservation(s.currentGrant.Load(), now)
}

// recordRejectedLoad takes a load back that its replica refused, or that was not sent.
func (s *Scheduler) recordRejectedLoad(action placement.Action) {
	if !loadsFromStore(action) {
		return
	}
	s.loadBudget.lock.Lock()
	defer s.loadBudget.lock.Unlock()
	s.loadBudget.budget.MarkRejected(action.Server)
}

// recordStartedLoads notes that every load ordered at a replica has begun, or never will: its order was
// accepted, or the replica's report shows what became of it.
func (s *Scheduler) recordStartedLoads(id string, now time.Time) {
	s.loadBudget.lock.Lock()
	defer s.loadBudget.lock.Unlock()
	s.loadBudget.budget.MarkStarted(id, now)
}

// countStartedLoad counts a load that was not known to come from the store when it was ordered.
func (s *Scheduler) countStartedLoad(at time.Time) {
	s.loadBudget.lock.Lock()
	defer s.loadBudget.lock.Unlock()
	s.loadBudget.budget.AddStarted(at)
	s.loadBudget.proposeReservation(s.currentGrant.Load(), s.node.clock())
}

// writeReservations writes the reservations that are due until the context ends. The scheduler is
// nudged after each, since loads may wait for it.
func (s *Scheduler) writeReservations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case pending := <-s.loadBudget.pending:
			s.writeReservation(ctx, pending)
		}
	}
}

func (s *Scheduler) writeReservation(ctx context.Context, pending pendingReservation) {
	bounded, cancel := context.WithTimeout(ctx, reservationTimeout)
	// Members that answer after the majority are still to take the write.
	time.AfterFunc(reservationTimeout, cancel)
	err := s.leaseManager.Reserve(bounded, pending.grant, pending.reservation)
	s.loadBudget.lock.Lock()
	s.loadBudget.budget.CompleteWrite(pending.grant.Record.Fence, pending.reservation, err == nil, s.node.clock())
	s.loadBudget.lock.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	if !errors.Is(err, keystore.ErrContended) {
		return
	}
	select {
	case s.loadBudget.unwritable <- pending.grant:
	default:
	}
}

// reacquireLease gives up a lease whose record cannot be written any more though it can be renewed, as when
// a member that promised it has lost its disk, so that it can be taken under a new ballot.
func (s *Scheduler) reacquireLease(ctx context.Context, stuck *lease.Grant) {
	if current := s.currentGrant.Load(); current == nil || current.Record.Fence != stuck.Record.Fence {
		return
	}
	logrus.WithField("fence", stuck.Record.Fence).Info("lease is taken anew, its record can't be written")
	s.currentGrant.Store(nil)
	nodesettings.Sleep(ctx, orderLeaseMargin)
	if err := s.leaseManager.Release(ctx); err != nil {
		logrus.WithError(err).Info("lease not released, it runs out")
	}
}
