package scheduler

import (
	"context"
	"sync"
	"time"

	"ferryspar/internal/controlplane/capacityorder"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/lease"
	"ferryspar/internal/placement"
)

// planInterval is the longest time between two turns of the planning loop.
const planInterval = 100 * time.Millisecond

// Scheduler is the planning loop. It is made by New and runs once.
type Scheduler struct {
	settings Settings
	clock    func() time.Time
	state    StateReader
	roster   Roster

	// Any goroutine may use these parts; each has a lock of its own.

	lease        *LeaseElector
	demand       *DemandView
	copies       *CopyAges
	disks        *replicatracker.DiskInventory
	observations *replicatracker.Observations
	budget       *loadBudget

	// wake has a turn of the planning loop begin at once.
	wake       chan struct{}
	background *background

	// The planning loop alone uses all below.

	tracker       *replicatracker.Tracker
	configuration *currentConfiguration
	publisher     *observationPublisher
	pacer         *planPacer
	orders        *orderSender
	poller        *reportPoller
	eviction      *contextEviction
	phases        *phaseBalancer
	capacity      *capacityObserver
	// grant is the one that the tracked replicas were learned under.
	grant *lease.Grant
	// sizes are those that models had in earlier configurations under the grant.
	sizes *placement.SizeHistory
	// starvationLoggedAt is when a model that requests wait for was logged last.
	starvationLoggedAt time.Time
}

// New returns a scheduler that holds no lease and tracks no replicas.
func New(config Config) *Scheduler {
	s := &Scheduler{
		settings:      config.Settings,
		clock:         config.Clock,
		state:         config.State,
		roster:        config.Roster,
		lease:         newLeaseElector(config.Lease, config.Clock, config.StartedAt),
		copies:        newCopyAges(),
		disks:         replicatracker.NewDiskInventory(),
		observations:  replicatracker.NewObservations(config.Settings.ListLag),
		wake:          make(chan struct{}, 1),
		background:    newBackground(),
		configuration: &currentConfiguration{},
		pacer:         &planPacer{},
		sizes:         placement.NewSizeHistory(),
	}
	s.demand = newDemandView(config.Clock, s.wakeUp)
	s.budget = newLoadBudget(s.lease, config.Clock, config.StartedAt, config.Settings.StoreLimit, s.wakeUp)
	s.tracker = replicatracker.New(config.Settings.ListLag, s.disks, s.observations)
	s.publisher = &observationPublisher{tracker: s.tracker, roster: config.Roster, clock: config.Clock}
	s.orders = &orderSender{
		clock:         config.Clock,
		lease:         s.lease,
		client:        config.Replicas,
		tracker:       s.tracker,
		demand:        s.demand,
		budget:        s.budget,
		configuration: s.configuration,
		pacer:         s.pacer,
		background:    s.background,
	}
	s.poller = &reportPoller{
		clock:         config.Clock,
		client:        config.Replicas,
		tracker:       s.tracker,
		disks:         s.disks,
		demand:        s.demand,
		budget:        s.budget,
		configuration: s.configuration,
		pacer:         s.pacer,
		publisher:     s.publisher,
		background:    s.background,
	}
	s.phases = newPhaseBalancer(s.tracker, s.demand, s.orders)
	s.capacity = newCapacityObserver(s.tracker)
	s.eviction = &contextEviction{
		tracker:    s.tracker,
		copies:     s.copies,
		purges:     config.Purges,
		clock:      config.Clock,
		background: s.background,
		evicted:    map[purgeTarget]bool{},
	}
	return s
}

// Lease returns the elector of the placement lease.
func (s *Scheduler) Lease() *LeaseElector { return s.lease }

// Capacity tells what the replicas of backends are needed for, while this node places models.
func (s *Scheduler) Capacity() capacityorder.Source { return s.capacity }

// Demand is the demand of all data planes.
func (s *Scheduler) Demand() *DemandView { return s.demand }

// CopyAges returns the ages of the copies of models.
func (s *Scheduler) CopyAges() *CopyAges { return s.copies }

// DiskInventory returns the inventory of the weights on the replicas' disks.
func (s *Scheduler) DiskInventory() *replicatracker.DiskInventory { return s.disks }

// Observations is what the scheduler knows better than the platform's list while it holds the lease.
func (s *Scheduler) Observations() *replicatracker.Observations { return s.observations }

// Run keeps or seeks the lease, and plans while it is held, until the context ends. It returns once its goroutines have
// ended.
func (s *Scheduler) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.lease.run(ctx) })
	loops.Go(func() { s.budget.run(ctx) })
	s.runPlanning(ctx)
	s.background.close()
	loops.Wait()
}

// runPlanning is the planning loop.
func (s *Scheduler) runPlanning(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		case callback := <-s.background.callbacks:
			callback()
			continue
		}
		s.demand.Update()
		grant := s.lease.Grant()
		s.adoptGrant(grant)
		if grant.Allows(s.clock(), orderLeaseMargin) {
			s.syncOnce(ctx)
		}
	}
}

// wakeUp has a turn of the planning loop begin at once. Any goroutine may call it.
func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// adoptGrant forgets all that is known of replicas unless it was learned under this very grant: under any other, someone
// else may have ordered there since, even if this node held the lease before and holds it now. While none is held nothing is
// forgotten: a renewal under way may save the grant, and its orders of unknown fate still count then.
func (s *Scheduler) adoptGrant(grant *lease.Grant) {
	if grant == nil || !s.clock().Before(grant.ExpiresAt) {
		s.publisher.withdraw()
		return
	}
	same := s.grant.SameAs(grant)
	s.grant = grant
	if same {
		return
	}
	s.sizes = placement.NewSizeHistory()
	var trustFrom time.Time
	if !grant.IsFirst() {
		trustFrom = grant.GrantedAt.Add(replicatracker.MaxReportAge)
	}
	if s.tracker.Reset(grant.Record.Fence, trustFrom) {
		s.publisher.publish()
	}
}
