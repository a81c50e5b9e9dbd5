package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/configuration"
	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/placement"
)

const (
	// maxLoadStartDelay is how much longer than the period a load counts: how long after its acceptance it may start.
	maxLoadStartDelay = 250 * time.Millisecond
	// maxUncertainDelay is how long after a lease holder has stopped a load without a clear answer may still start.
	maxUncertainDelay = time.Second
	// reservationTimeout bounds one write of a reservation, so that renewals of the lease do not wait long.
	reservationTimeout = 500 * time.Millisecond
)

// pendingReservation is a reservation that is to be written into the record of a grant.
type pendingReservation struct {
	grant       *lease.Grant
	reservation loadbudget.Reservation
}

// loadBudget is the budget of loads from the store of weights under the grant held, and the writer of its reservations. Any
// goroutine may use it.
type loadBudget struct {
	lease     *LeaseElector
	clock     func() time.Time
	startedAt time.Time
	// limit is the store's, without its rate, which the configuration has.
	limit loadbudget.StoreLimit
	// onWritten is called after each write of a reservation, since loads may wait for it.
	onWritten func()
	// pending has room for the one reservation that is proposed at a time.
	pending chan pendingReservation

	// lock guards budget and bounds.
	lock   sync.Mutex
	budget loadbudget.Budget
	bounds loadbudget.Bounds
}

func newLoadBudget(
	elector *LeaseElector, clock func() time.Time, startedAt time.Time, limit loadbudget.StoreLimit, onWritten func(),
) *loadBudget {
	return &loadBudget{
		lease:     elector,
		clock:     clock,
		startedAt: startedAt,
		limit:     limit,
		onWritten: onWritten,
		pending:   make(chan pendingReservation, 1),
	}
}

// loadsFromStore tells whether an action loads weights from the store.
func loadsFromStore(action placement.Action) bool {
	return action.Load && action.FromStore && !placement.IsAdapter(action.Model)
}

// loadBounds are the bounds of loads from the store: its limit with the rate that the configuration has.
func loadBounds(table *configuration.Table, limit loadbudget.StoreLimit) loadbudget.Bounds {
	limit.Rate = 0
	for _, backend := range table.Configuration.Backends {
		if backend.Runtime != nil {
			limit.Rate = max(limit.Rate, backend.Runtime.LoadsPerS)
		}
	}
	return loadbudget.NewBounds(limit, loadbudget.StartDelays{Accepted: maxLoadStartDelay, Uncertain: maxUncertainDelay})
}

// available is how many loads from the store may start now under the grant held; it may be below 0. mayStart tells whether
// the order under way at a replica may yet be taken; loads of those that may not count as started.
func (b *loadBudget) available(now time.Time, table *configuration.Table, mayStart func(id string) bool) float64 {
	grant := b.lease.Grant()
	if grant == nil {
		return 0
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bounds = loadBounds(table, b.limit)
	b.adoptGrant(grant)
	for _, id := range b.budget.Pending() {
		if !mayStart(id) {
			b.budget.MarkStarted(id, now)
		}
	}
	b.propose(grant, now)
	return float64(b.budget.Available(now, b.bounds))
}

// adoptGrant begins the budget of a grant that was not seen before. The caller holds the lock.
func (b *loadBudget) adoptGrant(grant *lease.Grant) {
	if b.budget.Fence() == grant.Record.Fence {
		return
	}
	b.budget.TakeOver(loadbudget.Takeover{
		Fence:                grant.Record.Fence,
		PredecessorStoppedAt: b.predecessorStoppedAt(grant),
		Reserved:             grant.Record.Reserved,
		ContinuesFence:       grant.ContinuesFence,
	}, b.bounds)
}

// predecessorStoppedAt is a moment after which no holder before the grant starts a load.
func (b *loadBudget) predecessorStoppedAt(grant *lease.Grant) time.Time {
	if grant.FollowsOwnRestart() && b.startedAt.Before(grant.GrantedAt) {
		return b.startedAt
	}
	return grant.GrantedAt
}

// propose has a reservation written if one is due. The caller holds the lock.
func (b *loadBudget) propose(grant *lease.Grant, now time.Time) {
	if grant == nil || b.budget.Fence() != grant.Record.Fence {
		return
	}
	reservation, due := b.budget.Propose(now, b.bounds)
	if !due {
		return
	}
	select {
	case <-b.pending: // of an earlier grant: nobody needs it any more
	default:
	}
	select {
	case b.pending <- pendingReservation{grant: grant, reservation: reservation}:
	default:
	}
}

// recordOrdered counts a load that is about to be ordered.
func (b *loadBudget) recordOrdered(action placement.Action, now time.Time) {
	if !loadsFromStore(action) {
		return
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.MarkOrdered(action.Server)
	b.propose(b.lease.Grant(), now)
}

// recordRejected takes back a load that its replica rejected or that was not sent.
func (b *loadBudget) recordRejected(id string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.MarkRejected(id)
}

// recordStarted records that every load ordered at a replica has started or never will: its order was accepted.
func (b *loadBudget) recordStarted(id string, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.MarkStarted(id, now)
}

// spare is how many loads from the store may start now that no request waits for. It is asked after available.
func (b *loadBudget) spare(now time.Time) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return float64(b.budget.SpareLoads(now, b.bounds))
}

// recordFromDisk takes back a load, counted as started at a moment, that has proven to come from the replica's disk.
func (b *loadBudget) recordFromDisk(startedAt time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.Withdraw(startedAt)
	b.propose(b.lease.Grant(), b.clock())
}

// addStarted counts a load, started at a moment or before it, that was not known to come from the store when it was ordered.
func (b *loadBudget) addStarted(at time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.AddStarted(at)
	b.propose(b.lease.Grant(), b.clock())
}

// run writes the reservations that are due until the context ends.
func (b *loadBudget) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case pending := <-b.pending:
			b.write(ctx, pending)
		}
	}
}

// write writes a reservation into the record of its grant. A grant whose record cannot be written any more is given up.
func (b *loadBudget) write(ctx context.Context, pending pendingReservation) {
	bounded, cancel := context.WithTimeout(ctx, reservationTimeout)
	// Members that answer after the majority should still take the write, so the context outlives this call.
	time.AfterFunc(reservationTimeout, cancel)
	err := b.lease.reserve(bounded, pending.grant, pending.reservation)
	b.lock.Lock()
	b.budget.CompleteWrite(pending.grant.Record.Fence, pending.reservation, err == nil, b.clock())
	b.lock.Unlock()
	b.onWritten()
	if errors.Is(err, keystore.ErrContended) {
		b.lease.reportUnwritable(pending.grant)
	}
}
