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
	// maxLoadStartDelay is the maximum time between the acceptance of a load and its start. A load counts this much longer
	// than the limit's period.
	maxLoadStartDelay = 250 * time.Millisecond
	// maxUncertainDelay is how long after a lease holder has stopped ordering a load may still start if its order got no clear
	// answer.
	maxUncertainDelay = time.Second
	// maxLateStart is how long after its call has ended without an answer a load may still start: a replica may carry such an order
	// out seconds later (docs/questions.md).
	maxLateStart = 15 * time.Second
	// reservationTimeout bounds one write of a reservation, so that lease renewals are not delayed for long.
	reservationTimeout = 500 * time.Millisecond
)

// pendingReservation is a reservation to be written to the record of a grant.
type pendingReservation struct {
	grant       *lease.Grant
	reservation loadbudget.Reservation
}

// loadBudget limits the loads from the model store under the current grant and writes the reservations for them. It is safe
// for concurrent use.
type loadBudget struct {
	lease     *LeaseElector
	clock     func() time.Time
	startedAt time.Time
	// limit is the load limit of the store without its rate, which the configuration defines.
	limit loadbudget.StoreLimit
	// onWritten is called after each write of a reservation, since loads may be waiting for it.
	onWritten func()
	// pending is a queue of one proposed reservation.
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

// loadsFromStore reports whether an action loads weights from the store.
func loadsFromStore(action placement.Action) bool {
	return action.Load && action.FromStore && !placement.IsAdapter(action.Model)
}

// loadBounds returns the bounds of loads from the store: its limit with the rate defined by the configuration.
func loadBounds(table *configuration.Table, limit loadbudget.StoreLimit) loadbudget.Bounds {
	limit.Rate = 0
	for _, backend := range table.Configuration.Backends {
		if backend.Runtime != nil {
			limit.Rate = max(limit.Rate, backend.Runtime.LoadsPerS)
		}
	}
	return loadbudget.NewBounds(limit, loadbudget.StartDelays{Accepted: maxLoadStartDelay, Uncertain: maxUncertainDelay})
}

// pendingOrders tells of orders whose outcome is not known.
type pendingOrders interface {
	// mayStart reports whether an order of a replica whose call is in flight may still be accepted.
	mayStart(id string) bool
	// rejectsOrdersOf reports whether a replica certainly rejects orders that were decided on a sequence number.
	rejectsOrdersOf(id string, sequence int64) bool
}

// available returns how many loads from the store may start now under the current grant; it may be negative. Loads whose orders can
// no longer be accepted count as started.
func (b *loadBudget) available(now time.Time, table *configuration.Table, orders pendingOrders) float64 {
	grant := b.lease.Grant()
	if grant == nil {
		return 0
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bounds = loadBounds(table, b.limit)
	b.adoptGrant(grant)
	for _, id := range b.budget.InFlight() {
		if !orders.mayStart(id) {
			b.budget.RecordInFlightStarted(id, now)
		}
	}
	for id, sequence := range b.budget.Unanswered() {
		if orders.rejectsOrdersOf(id, sequence) {
			b.budget.RecordStarted(id, now)
		}
	}
	b.propose(grant, now)
	return float64(b.budget.Available(now, b.bounds))
}

// adoptGrant starts the budget of a grant that was not seen before. The caller holds the lock.
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

// predecessorStoppedAt returns a time after which no holder before the grant starts a load.
func (b *loadBudget) predecessorStoppedAt(grant *lease.Grant) time.Time {
	if grant.FollowsOwnRestart() && b.startedAt.Before(grant.GrantedAt) {
		return b.startedAt
	}
	return grant.GrantedAt
}

// propose queues a reservation for writing if one is due. The caller holds the lock.
func (b *loadBudget) propose(grant *lease.Grant, now time.Time) {
	if grant == nil || b.budget.Fence() != grant.Record.Fence {
		return
	}
	reservation, due := b.budget.Propose(now, b.bounds)
	if !due {
		return
	}
	select {
	case <-b.pending: // belongs to an earlier grant and is obsolete
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
	b.budget.RecordOrdered(action.Server)
	b.propose(b.lease.Grant(), now)
}

// recordRejected stops counting a load that its replica rejected or whose order was not sent.
func (b *loadBudget) recordRejected(id string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.RecordRejected(id)
}

// recordUnanswered records that the call that ordered a load of a replica has ended without an answer. The order was decided on the
// sequence number.
func (b *loadBudget) recordUnanswered(id string, sequence int64, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.RecordUnanswered(id, sequence, now.Add(maxLateStart))
	b.propose(b.lease.Grant(), now)
}

// recordStarted records that an order of a replica was accepted: every load ordered there has started by now or never will.
func (b *loadBudget) recordStarted(id string, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.RecordStarted(id, now)
}

// spare returns how many loads from the store may start now for models that no request waits for. It is called after
// available.
func (b *loadBudget) spare(now time.Time) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return float64(b.budget.SpareLoads(now, b.bounds))
}

// recordFromDisk stops counting a load, counted as started at the given time, that turned out to come from the replica's disk.
func (b *loadBudget) recordFromDisk(startedAt time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.Withdraw(startedAt)
	b.propose(b.lease.Grant(), b.clock())
}

// addStarted counts a load that started no later than the given time and was not known to come from the store when it was
// ordered.
func (b *loadBudget) addStarted(at time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.budget.AddStarted(at)
	b.propose(b.lease.Grant(), b.clock())
}

// run writes pending reservations until the context ends.
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

// write writes a reservation to the record of its grant. A grant whose record can no longer be written is released.
func (b *loadBudget) write(ctx context.Context, pending pendingReservation) {
	bounded, cancel := context.WithTimeout(ctx, reservationTimeout)
	// The context outlives this call so that members that answer after the majority still store the write.
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
