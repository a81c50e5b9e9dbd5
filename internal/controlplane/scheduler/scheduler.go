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

// planInterval is the longest time between two iterations of the planning loop.
const planInterval = 100 * time.Millisecond

// Scheduler runs the planning loop. Create it with New; Run may be called once.
type Scheduler struct {
	settings Settings
	clock    func() time.Time
	state    StateReader
	roster   Roster

	// The following components do their own locking; any goroutine may use them.

	lease        *LeaseElector
	demand       *DemandView
	copies       *CopyAges
	disks        *replicatracker.DiskInventory
	observations *replicatracker.Observations
	budget       *loadBudget

	// wake triggers an iteration of the planning loop.
	wake       chan struct{}
	background *background

	// The following fields are used only by the planning loop.

	tracker       *replicatracker.Tracker
	configuration *currentConfiguration
	publisher     *observationPublisher
	pacer         *planPacer
	orders        *orderSender
	poller        *reportPoller
	eviction      *contextEviction
	phases        *phaseBalancer
	capacity      *capacityObserver
	// grant is the grant under which the tracked replicas were learned.
	grant *lease.Grant
	// sizes holds the model sizes of earlier configurations under the grant.
	sizes *placement.SizeHistory
	// starvationLoggedAt is when a starving model was last logged.
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

// Capacity returns the observed demand for the replicas of each backend. It has no data while this node does not place models.
func (s *Scheduler) Capacity() capacityorder.Source { return s.capacity }

// Demand returns the demand of all data planes.
func (s *Scheduler) Demand() *DemandView { return s.demand }

// CopyAges returns the ages of the copies of models.
func (s *Scheduler) CopyAges() *CopyAges { return s.copies }

// DiskInventory returns the inventory of the weights on the replicas' disks.
func (s *Scheduler) DiskInventory() *replicatracker.DiskInventory { return s.disks }

// Observations returns the replica state that the scheduler knows better than the platform's list while it holds the lease.
func (s *Scheduler) Observations() *replicatracker.Observations { return s.observations }

// Run acquires and renews the lease, and plans while it is held, until the context ends. It returns after its goroutines have
// ended.
func (s *Scheduler) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.lease.run(ctx) })
	loops.Go(func() { s.budget.run(ctx) })
	s.runPlanning(ctx)
	s.background.close()
	loops.Wait()
}

// runPlanning runs the planning loop until the context ends.
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

// wakeUp triggers an iteration of the planning loop. Any goroutine may call it.
func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// adoptGrant discards all replica state that was not learned under this grant: under any other grant another node may have
// sent orders since, even if this node held the lease before and holds it now. While no grant is held nothing is discarded: a
// renewal in progress may still extend the grant, and then its orders of unknown outcome still count.
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
