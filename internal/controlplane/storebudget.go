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
	"ferryspar/internal/place"
)

const (
	// loadsTransit is how much longer than the period a load counts, since it may begin late.
	loadsTransit = time.Second
	// reserveBound bounds one write of a reservation, so that renewals of the lease do not wait long.
	reserveBound = 500 * time.Millisecond
)

// reservation is one that is to be written into the record of a grant.
type reservation struct {
	grant *lease.Grant
	loads loadbudget.Reservation
}

// storeBudget is the budget of loads from the store of weights, and the writing of its reservations.
type storeBudget struct {
	lock   sync.Mutex
	budget loadbudget.Budget
	bounds loadbudget.Bounds
	// due has room for the one reservation that is proposed at a time.
	due chan reservation
	// stuck has room for the grant whose record cannot be written any more.
	stuck chan *lease.Grant
}

func newStoreBudget() storeBudget {
	return storeBudget{due: make(chan reservation, 1), stuck: make(chan *lease.Grant, 1)}
}

// loadBounds are the bounds of loads from the store by the settings and the configuration.
func (w *Scheduler) loadBounds(table *configuration.Table) loadbudget.Bounds {
	rate := 0.0
	for _, backend := range table.Configuration.Backends {
		if backend.Runtime != nil {
			rate = max(rate, backend.Runtime.LoadsPerS)
		}
	}
	return loadbudget.NewBounds(rate, nodesettings.Seconds(w.daemon.settings.TimingBounds.OriginPeriodS), loadsTransit)
}

// loadTokens is how many loads from the store may begin now under the grant held; it may be below 0.
func (w *Scheduler) loadTokens(now time.Time, table *configuration.Table) float64 {
	grant := w.hold.Load()
	if grant == nil {
		return 0
	}
	store := &w.store
	store.lock.Lock()
	defer store.lock.Unlock()
	store.bounds = w.loadBounds(table)
	store.follow(grant, w.lastActBefore(grant))
	for _, id := range store.budget.Pending() {
		if one := w.managed[id]; one == nil || !one.state.MayBegin() {
			store.budget.MarkStarted(id, now)
		}
	}
	store.propose(grant, now)
	return float64(store.budget.Available(now, store.bounds))
}

// lastActBefore is a moment after which no holder before the grant begins a load.
func (w *Scheduler) lastActBefore(grant *lease.Grant) time.Time {
	if grant.FollowsOwnRestart() && w.daemon.startedAt.Before(grant.GrantedAt) {
		return w.daemon.startedAt
	}
	return grant.GrantedAt
}

// follow begins the budget of a grant that was not seen before. The caller holds the lock.
func (s *storeBudget) follow(grant *lease.Grant, lastAct time.Time) {
	if s.budget.Fence() == grant.Record.Fence {
		return
	}
	s.budget.TakeOver(loadbudget.Takeover{
		Fence: grant.Record.Fence, PredecessorStoppedAt: lastAct, Reserved: grant.Record.Reserved, ContinuesFence: grant.ContinuesFence,
	}, s.bounds)
}

// propose has a reservation written if one is due. The caller holds the lock.
func (s *storeBudget) propose(grant *lease.Grant, now time.Time) {
	if grant == nil || s.budget.Fence() != grant.Record.Fence {
		return
	}
	loads, due := s.budget.Propose(now, s.bounds)
	if !due {
		return
	}
	select {
	case <-s.due: // one of a grant before, which nobody needs any more
	default:
	}
	select {
	case s.due <- reservation{grant: grant, loads: loads}:
	default:
	}
}

// fromStore says whether an action loads weights from the store.
func fromStore(action place.Action) bool {
	return action.Load && action.FromStore && !strings.Contains(action.Model, "/")
}

// orderFromStore counts a load that is about to be ordered.
func (w *Scheduler) orderFromStore(action place.Action, now time.Time) {
	if !fromStore(action) {
		return
	}
	w.store.lock.Lock()
	defer w.store.lock.Unlock()
	w.store.budget.MarkOrdered(action.Server)
	w.store.propose(w.hold.Load(), now)
}

// loadRefused takes a load back that its replica refused, or that was not sent.
func (w *Scheduler) loadRefused(action place.Action) {
	if !fromStore(action) {
		return
	}
	w.store.lock.Lock()
	defer w.store.lock.Unlock()
	w.store.budget.MarkRejected(action.Server)
}

// loadsBegun notes that every load ordered at a replica has begun, or never will: its order was
// accepted, or the replica's report shows what became of it.
func (w *Scheduler) loadsBegun(id string, now time.Time) {
	w.store.lock.Lock()
	defer w.store.lock.Unlock()
	w.store.budget.MarkStarted(id, now)
}

// countBegun counts a load that was not known to come from the store when it was ordered.
func (w *Scheduler) countBegun(at time.Time) {
	w.store.lock.Lock()
	defer w.store.lock.Unlock()
	w.store.budget.AddStarted(at)
	w.store.propose(w.hold.Load(), w.daemon.clock())
}

// writeReservations writes the reservations that are due until the context ends. The scheduler is
// nudged after each, since loads may wait for it.
func (w *Scheduler) writeReservations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-w.store.due:
			w.writeReservation(ctx, one)
		}
	}
}

func (w *Scheduler) writeReservation(ctx context.Context, one reservation) {
	bounded, cancel := context.WithTimeout(ctx, reserveBound)
	// Members that answer after the majority are still to take the write.
	time.AfterFunc(reserveBound, cancel)
	err := w.keeper.Reserve(bounded, one.grant, one.loads)
	w.store.lock.Lock()
	w.store.budget.CompleteWrite(one.grant.Record.Fence, one.loads, err == nil, w.daemon.clock())
	w.store.lock.Unlock()
	select {
	case w.nudge <- struct{}{}:
	default:
	}
	if !errors.Is(err, keystore.ErrContended) {
		return
	}
	select {
	case w.store.stuck <- one.grant:
	default:
	}
}

// takeAnew gives up a lease whose record cannot be written any more though it can be renewed, as when
// a member that promised it has lost its disk, so that it can be taken under a new ballot.
func (w *Scheduler) takeAnew(ctx context.Context, stuck *lease.Grant) {
	if held := w.hold.Load(); held == nil || held.Record.Fence != stuck.Record.Fence {
		return
	}
	logrus.WithField("fence", stuck.Record.Fence).Info("lease is taken anew, its record can't be written")
	w.hold.Store(nil)
	nodesettings.Sleep(ctx, orderNeeds)
	if err := w.keeper.Release(ctx); err != nil {
		logrus.WithError(err).Info("lease not released, it runs out")
	}
}
