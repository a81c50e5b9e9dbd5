package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/lease"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
	"ferryspar/internal/replica"
)

type overlay struct {
	at     time.Time
	models []platform.LoadedModel
	barred []string
}

// Scheduler places models and adapters on replicas while this daemon holds the placement lease.
type Scheduler struct {
	daemon    *Node
	keeper    *lease.Manager
	hold      atomic.Pointer[lease.Grant]
	released  chan struct{}
	commander *replica.Client
	lock      sync.Mutex
	demand    map[string]*place.Demand
	counted   map[string]float64
	reading   map[string]float64
	learning  time.Time
	heldOnce  map[string]map[string]bool
	nudge     chan struct{}
	results   chan func()
	managed   map[string]*managedReplica
	// grant is the one that managed was learned under.
	grant *lease.Grant
	// sizes are those that models had in earlier configurations under the grant.
	sizes     *place.SizeHistory
	store     storeBudget
	table     *configuration.Table
	lastRate  time.Time
	heardFrom time.Time
	explained time.Time
	overlays  map[string]overlay
	eviction  *contextEviction
	feed
}

// NewScheduler makes the scheduler of a daemon.
func NewScheduler(daemon *Node) *Scheduler {
	bounds := daemon.settings.TimingBounds
	return &Scheduler{
		daemon: daemon,
		keeper: &lease.Manager{
			Key: placementLease, Holder: daemon.settings.NodeName, Address: daemon.self, TTL: daemon.leaseLength(),
			TakeoverDelay: nodesettings.Milliseconds(bounds.LeaseMs) + 100*time.Millisecond, Store: daemon.store, Clock: daemon.clock,
		},
		store: newStoreBudget(), released: make(chan struct{}), commander: replica.NewClient(daemon.network),
		demand: map[string]*place.Demand{}, counted: map[string]float64{}, reading: map[string]float64{}, heldOnce: map[string]map[string]bool{},
		nudge: make(chan struct{}, 1), results: make(chan func(), 64), managed: map[string]*managedReplica{}, overlays: map[string]overlay{}, eviction: newContextEviction(), sizes: place.NewSizeHistory(), feed: feed{tally: NewDemandAggregator()}, lastRate: daemon.clock(),
	}
}

// Holding says whether this daemon holds the lease now. Any goroutine may call it.
func (w *Scheduler) Holding() bool {
	hold := w.hold.Load()
	return hold != nil && w.daemon.clock().Before(hold.ExpiresAt)
}

const (
	renewEvery = 300 * time.Millisecond
	planEvery  = 100 * time.Millisecond
	orderNeeds = 800 * time.Millisecond
)

// Run keeps or seeks the lease, and plans while it is held, until the context ends.
func (w *Scheduler) Run(ctx context.Context) {
	go w.keepLease(ctx)
	go w.writeReservations(ctx)
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.nudge:
		case done := <-w.results:
			done()
			continue
		}
		w.measure()
		grant := w.hold.Load()
		w.adoptGrant(grant)
		if grant.Allows(w.daemon.clock(), orderNeeds) {
			w.step(ctx)
		}
	}
}

// adoptGrant forgets all that is known of replicas unless it was learned under this very grant: under any other, someone
// else may have ordered there since, even if this daemon held the lease before and holds it now. While none is held
// nothing is forgotten: a renewal under way may save the grant, and its orders of unknown fate still count then.
func (w *Scheduler) adoptGrant(grant *lease.Grant) {
	if grant == nil || !w.daemon.clock().Before(grant.ExpiresAt) {
		w.hideOverlays()
		return
	}
	if w.grant.SameAs(grant) {
		w.grant = grant
		return
	}
	w.grant = grant
	w.sizes = place.NewSizeHistory()
	w.followed = nil
	if len(w.managed) > 0 {
		w.managed = map[string]*managedReplica{}
		w.showOverlays()
	}
}

func (w *Scheduler) keepLease(ctx context.Context) {
	patience := time.Duration(rand.IntN(200)) * time.Millisecond
	for index, seed := range w.daemon.settings.SeedPeers() {
		if seed == w.daemon.self {
			patience += time.Duration(index) * 250 * time.Millisecond
		}
	}
	nodesettings.Sleep(ctx, patience)
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.daemon.leaving:
			w.release(ctx)
			return
		case stuck := <-w.store.stuck:
			w.takeAnew(ctx, stuck)
		case <-ticker.C:
		}
		if hold := w.hold.Load(); hold != nil {
			w.hold.Store(w.keeper.Renew(ctx, hold))
			continue
		}
		if !w.mayTry() {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
		hold, err := w.keeper.Acquire(bounded)
		cancel()
		if err != nil {
			nodesettings.Sleep(ctx, time.Duration(rand.IntN(300))*time.Millisecond)
			continue
		}
		w.hold.Store(hold)
	}
}

// release gives the lease up once no order under it can be on its way.
func (w *Scheduler) release(ctx context.Context) {
	defer close(w.released)
	if w.hold.Swap(nil) == nil {
		return
	}
	nodesettings.Sleep(ctx, orderNeeds)
	if err := w.keeper.Release(ctx); err != nil {
		logrus.WithError(err).Info("lease not released, it runs out")
	}
}

// forgetHolder makes the lease worth trying for at once: its holder said that it leaves.
func (w *Scheduler) forgetHolder() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.heardFrom = time.Time{}
}

// mayTry says whether this daemon should try to take the lease: its state is confirmed, it
// votes, and nothing was heard of a holder for longer than a lease lasts. The holder before, if
// it is heard, has a head start: it need not wait for the end of another's orders, as every
// other successor must.
func (w *Scheduler) mayTry() bool {
	now := w.daemon.clock()
	snapshot := w.daemon.publisher.Current()
	if !w.daemon.acceptor.LocalState().Voting || !snapshot.IsFresh(now) || !w.daemon.store.Membership().Contains(w.daemon.self) {
		return false
	}
	w.lock.Lock()
	since := w.heardFrom
	w.lock.Unlock()
	patience := w.keeper.TTL + tryMargin
	if w.daemon.isReachable(snapshot.LeaseHolder, now) {
		patience += headStart
		if since.Before(w.daemon.startedAt) {
			since = w.daemon.startedAt
		}
	}
	return now.Sub(since) > patience
}

const (
	// tryMargin is added to the length of a lease before anybody else tries to take it.
	tryMargin = 200 * time.Millisecond
	headStart = 400 * time.Millisecond
)

func (w *Scheduler) heardHolder() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.heardFrom = w.daemon.clock()
}

const rateSpan = 8.0
