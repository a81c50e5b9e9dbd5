package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
	"ferryspar/internal/replica"
)

type observedState struct {
	reportedAt time.Time
	models     []discovery.LoadedModel
	cordoned   []string
}

// Scheduler places models and adapters on replicas while this daemon holds the placement lease.
type Scheduler struct {
	node          *Node
	leaseManager  *lease.Manager
	currentGrant  atomic.Pointer[lease.Grant]
	released      chan struct{}
	commander     *replica.Client
	lock          sync.Mutex
	demand        map[string]*placement.Demand
	arrivals      map[string]float64
	prefillMs     map[string]float64
	learningSince time.Time
	modelsOnDisk  map[string]map[string]bool
	wake          chan struct{}
	callbacks     chan func()
	tracked       map[string]*trackedReplica
	// grant is the one that managed was learned under.
	trackedGrant *lease.Grant
	// sizes are those that models had in earlier configurations under the grant.
	sizes              *placement.SizeHistory
	loadBudget         loadBudget
	table              *configuration.Table
	ratesUpdatedAt     time.Time
	leaseHolderSeenAt  time.Time
	starvationLoggedAt time.Time
	observed           map[string]observedState
	eviction           *contextEviction
	planInputs
}

// NewScheduler makes the scheduler of a daemon.
func NewScheduler(daemon *Node) *Scheduler {
	bounds := daemon.settings.TimingBounds
	return &Scheduler{
		node: daemon,
		leaseManager: &lease.Manager{
			Key: placementLease, Holder: daemon.settings.NodeName, Address: daemon.self, TTL: daemon.leaseDuration(),
			TakeoverDelay: nodesettings.Milliseconds(bounds.LeaseMs) + 100*time.Millisecond, Store: daemon.store, Clock: daemon.clock,
		},
		loadBudget: newLoadBudget(), released: make(chan struct{}), commander: replica.NewClient(daemon.network),
		demand: map[string]*placement.Demand{}, arrivals: map[string]float64{}, prefillMs: map[string]float64{}, modelsOnDisk: map[string]map[string]bool{},
		wake: make(chan struct{}, 1), callbacks: make(chan func(), 64), tracked: map[string]*trackedReplica{}, observed: map[string]observedState{}, eviction: newContextEviction(), sizes: placement.NewSizeHistory(), planInputs: planInputs{aggregator: NewDemandAggregator()}, ratesUpdatedAt: daemon.clock(),
	}
}

// Holding says whether this daemon holds the lease now. Any goroutine may call it.
func (s *Scheduler) HoldsLease() bool {
	grant := s.currentGrant.Load()
	return grant != nil && s.node.clock().Before(grant.ExpiresAt)
}

const (
	renewInterval    = 300 * time.Millisecond
	planInterval     = 100 * time.Millisecond
	orderLeaseMargin = 800 * time.Millisecond
)

// Run keeps or seeks the lease, and plans while it is held, until the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	go s.keepLease(ctx)
	go s.writeReservations(ctx)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		case done := <-s.callbacks:
			done()
			continue
		}
		s.updateDemand()
		grant := s.currentGrant.Load()
		s.adoptGrant(grant)
		if grant.Allows(s.node.clock(), orderLeaseMargin) {
			s.syncOnce(ctx)
		}
	}
}

// adoptGrant forgets all that is known of replicas unless it was learned under this very grant: under any other, someone
// else may have ordered there since, even if this daemon held the lease before and holds it now. While none is held
// nothing is forgotten: a renewal under way may save the grant, and its orders of unknown fate still count then.
func (s *Scheduler) adoptGrant(grant *lease.Grant) {
	if grant == nil || !s.node.clock().Before(grant.ExpiresAt) {
		s.withdrawObserved()
		return
	}
	if s.trackedGrant.SameAs(grant) {
		s.trackedGrant = grant
		return
	}
	s.trackedGrant = grant
	s.sizes = placement.NewSizeHistory()
	s.adoptedList = nil
	if len(s.tracked) > 0 {
		s.tracked = map[string]*trackedReplica{}
		s.publishObserved()
	}
}

func (s *Scheduler) keepLease(ctx context.Context) {
	delay := time.Duration(rand.IntN(200)) * time.Millisecond
	for index, seed := range s.node.settings.SeedPeers() {
		if seed == s.node.self {
			delay += time.Duration(index) * 250 * time.Millisecond
		}
	}
	nodesettings.Sleep(ctx, delay)
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.node.members.Leaving():
			s.releaseLease(ctx)
			return
		case stuck := <-s.loadBudget.unwritable:
			s.reacquireLease(ctx, stuck)
		case <-ticker.C:
		}
		if grant := s.currentGrant.Load(); grant != nil {
			s.currentGrant.Store(s.leaseManager.Renew(ctx, grant))
			continue
		}
		if !s.mayAcquire() {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
		grant, err := s.leaseManager.Acquire(bounded)
		cancel()
		if err != nil {
			nodesettings.Sleep(ctx, time.Duration(rand.IntN(300))*time.Millisecond)
			continue
		}
		s.currentGrant.Store(grant)
	}
}

// release gives the lease up once no order under it can be on its way.
func (s *Scheduler) releaseLease(ctx context.Context) {
	defer close(s.released)
	if s.currentGrant.Swap(nil) == nil {
		return
	}
	nodesettings.Sleep(ctx, orderLeaseMargin)
	if err := s.leaseManager.Release(ctx); err != nil {
		logrus.WithError(err).Info("lease not released, it runs out")
	}
}

// forgetLeaseHolder makes the lease worth trying for at once: its holder said that it leaves.
func (s *Scheduler) forgetLeaseHolder() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.leaseHolderSeenAt = time.Time{}
}

// mayAcquire says whether this daemon should try to take the lease: its state is confirmed, it
// votes, and nothing was heard of a holder for longer than a lease lasts. The holder before, if
// it is heard, has a head start: it need not wait for the end of another's orders, as every
// other successor must.
func (s *Scheduler) mayAcquire() bool {
	now := s.node.clock()
	snapshot := s.node.publisher.Current()
	if !s.node.acceptor.LocalState().Voting || !snapshot.IsFresh(now) || !s.node.store.Membership().Contains(s.node.self) {
		return false
	}
	s.lock.Lock()
	lastSeen := s.leaseHolderSeenAt
	s.lock.Unlock()
	timeout := s.leaseManager.TTL + acquireMargin
	if s.node.members.IsReachable(snapshot.LeaseHolder, now) {
		timeout += previousHolderHeadStart
		if lastSeen.Before(s.node.startedAt) {
			lastSeen = s.node.startedAt
		}
	}
	return now.Sub(lastSeen) > timeout
}

const (
	// acquireMargin is added to the length of a lease before anybody else tries to take it.
	acquireMargin           = 200 * time.Millisecond
	previousHolderHeadStart = 400 * time.Millisecond
)

func (s *Scheduler) recordLeaseHolderSeen() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.leaseHolderSeenAt = s.node.clock()
}

const rateTimeConstant = 8.0
