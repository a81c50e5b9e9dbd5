package scheduler

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/discovery"
	"ferryspar/internal/phasebalance"
	"ferryspar/internal/placement"
)

const (
	// phasePlanInterval is the minimum interval between two plans of the serving phases.
	phasePlanInterval = 500 * time.Millisecond
	// phaseLearningPeriod is how long the demand is observed before phases are changed based on it.
	phaseLearningPeriod = time.Second
	// runningTimeConstantS is the time constant, in seconds, of the average number of running requests.
	runningTimeConstantS = 2.0
)

// phaseBalancer moves replicas of disaggregated backends, which run prefill and decode on separate replicas, between the phases
// as the decode demand changes. It is used only by the planning loop.
type phaseBalancer struct {
	tracker   *replicatracker.Tracker
	demand    *DemandView
	orders    *orderSender
	plannedAt time.Time
	byBackend map[string]*backendPhases
}

// backendPhases is the state of one backend that is kept between plans.
type backendPhases struct {
	rebalancing bool
	running     float64 // average number of running requests
	averagedAt  time.Time
}

func newPhaseBalancer(tracker *replicatracker.Tracker, demand *DemandView, orders *orderSender) *phaseBalancer {
	return &phaseBalancer{tracker: tracker, demand: demand, orders: orders, byBackend: map[string]*backendPhases{}}
}

// plan orders the phase changes that are due.
func (b *phaseBalancer) plan(ctx context.Context, view *placement.View) {
	if view.Now.Sub(b.plannedAt) < phasePlanInterval {
		return
	}
	b.plannedAt = view.Now
	suspected := map[string]bool{}
	for _, server := range view.Servers {
		suspected[server.ID] = server.Suspected
	}
	for _, backend := range b.disaggregatedBackends() {
		b.planBackend(ctx, view, backend, suspected)
	}
}

// disaggregatedBackends returns the backends with prefill or decode replicas, in the order of their first replica.
func (b *phaseBalancer) disaggregatedBackends() []string {
	var names []string
	found := map[string]bool{}
	for _, tracked := range b.tracker.Listed() {
		phase := tracked.Phase()
		isDisaggregated := phase == discovery.PhasePrefill || phase == discovery.PhaseDecode
		if isDisaggregated && !found[tracked.Backend()] {
			found[tracked.Backend()] = true
			names = append(names, tracked.Backend())
		}
	}
	return names
}

// planBackend orders the phase changes of one backend.
func (b *phaseBalancer) planBackend(ctx context.Context, view *placement.View, name string, suspected map[string]bool) {
	backend, _, known := view.Table.Backend(name)
	if !known || backend.Runtime == nil {
		return
	}
	phases := b.byBackend[name]
	if phases == nil {
		phases = &backendPhases{}
		b.byBackend[name] = phases
	}
	running, learned := b.demand.decodeLoad(name, view.Now)
	phases.averageRunning(running, view.Now)
	if !learned {
		return
	}
	input := phasebalance.Input{
		RunningRequests: phases.running,
		SlotsPerReplica: backend.Runtime.Slots,
		Rebalancing:     phases.rebalancing,
	}
	for _, tracked := range b.tracker.Listed() {
		if tracked.Backend() == name {
			input.Replicas = append(input.Replicas, balancedReplica(tracked, view, suspected[tracked.ID()]))
		}
	}
	result := phasebalance.Plan(input)
	phases.rebalancing = result.Rebalancing
	if len(result.Changes) > 0 {
		logrus.WithFields(logrus.Fields{
			"backend":  name,
			"prefill":  result.TargetPrefill,
			"replicas": len(input.Replicas),
			"running":  math.Round(input.RunningRequests),
			"changes":  len(result.Changes),
		}).Info("replicas change phase")
	}
	for _, change := range result.Changes {
		b.orders.startPhase(ctx, change, view.Now)
	}
}

// balancedReplica returns the phase balancer's view of a replica.
func balancedReplica(tracked *replicatracker.Replica, view *placement.View, suspected bool) phasebalance.Replica {
	serving := !tracked.IsDraining() && !suspected && !view.DrainedZones[tracked.Listed().Zone]
	return phasebalance.Replica{
		ID:             tracked.ID(),
		Zone:           tracked.Listed().Zone,
		Phase:          tracked.Phase(),
		ChangingPhase:  tracked.IsChangingPhase(),
		CanChangePhase: serving && tracked.State().IsReady(view.Now),
		Serving:        serving,
	}
}

// averageRunning folds the current number of running requests into the average.
func (p *backendPhases) averageRunning(running float64, now time.Time) {
	weight := 1.0
	if !p.averagedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(p.averagedAt).Seconds()/runningTimeConstantS)
	}
	p.running += weight * (running - p.running)
	p.averagedAt = now
}
