package scheduler

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/placement"
)

// maxRosterAge is the age up to which the replica list may be used for placement. When a long list is complete it is as old as
// its reading took, and twice as old just before the next one is complete.
const maxRosterAge = 6 * time.Second

// syncOnce applies the replica list, polls the replicas that are due, publishes observations, and plans if necessary. It does
// nothing without a configuration and a fresh list.
func (s *Scheduler) syncOnce(ctx context.Context) {
	now := s.clock()
	state := s.state.State()
	table := s.configuration.update(&state)
	if table == nil || state.RosterAsOf.IsZero() || now.Sub(state.RosterAsOf) > maxRosterAge {
		return
	}
	listed, asOf := s.roster.Current()
	if s.tracker.AdoptList(listed, asOf, now) {
		s.pacer.markDirty()
	}
	s.poller.pollDue(ctx, table, now)
	if s.publisher.intervalOver(now) {
		s.publisher.publishChanges()
	}
	if s.pacer.planDue(s.demand, state.Version, now) {
		s.plan(ctx, &state, table, now)
		s.pacer.recordPlan(now, s.clock())
	}
}

// plan runs the planner and starts its actions.
func (s *Scheduler) plan(ctx context.Context, state *State, table *configuration.Table, now time.Time) {
	view := s.planningView(state, table, now)
	s.eviction.plan(ctx, state, view)
	for _, action := range placement.Plan(view) {
		s.eviction.recordAction(action, now)
		s.orders.start(ctx, action, now)
	}
	s.phases.plan(ctx, view)
	s.capacity.observe(view)
	for _, server := range view.Servers {
		s.tracker.Replica(server.ID).SetIntent(server.Intent)
	}
	s.publisher.publishChanges()
	s.logStarvingModel(view, now)
}

// planningView returns the planner's input at the given time.
func (s *Scheduler) planningView(state *State, table *configuration.Table, now time.Time) *placement.View {
	isTarget := func(backend string) bool { return isPlacementTarget(table, backend) }
	view := &placement.View{
		Now:          now,
		Table:        table,
		Catalog:      s.configuration.catalogOf(table),
		Demand:       s.demand.planned(),
		SizeHistory:  s.sizes,
		Loading:      s.loadsInProgress(isTarget),
		DrainedZones: map[string]bool{},
		StoreTokens:  s.budget.available(now, table, s),
		DemandKnown:  s.demand.isLearned(now),
		Servers:      s.tracker.Servers(isTarget, s.demand.suspectedAmong(s.tracker.Listed()), now),
	}
	view.SpareStoreTokens = s.budget.spare(now)
	for zone, zoneState := range state.Zones {
		view.DrainedZones[zone] = zoneState.Drained
	}
	return view
}

// loadsInProgress counts the loads in progress on replicas of the target backends, by model key.
func (s *Scheduler) loadsInProgress(isTarget func(backend string) bool) map[string]int {
	loading := map[string]int{}
	for _, replica := range s.tracker.Listed() {
		action := replica.Action()
		if action != nil && action.Load && !replica.IsDraining() && isTarget(replica.Backend()) {
			loading[placement.ModelKey(replica.Backend(), action.Model)]++
		}
	}
	return loading
}

// mayStart implements pendingOrders.
func (s *Scheduler) mayStart(id string) bool {
	replica := s.tracker.Replica(id)
	return replica != nil && replica.State().HasUnconfirmedOrder()
}

// rejectsOrdersOf implements pendingOrders. An incarnation that is gone accepts no order, and one that has accepted another order
// since rejects it for its sequence number.
func (s *Scheduler) rejectsOrdersOf(id string, sequence int64) bool {
	replica := s.tracker.Replica(id)
	return replica == nil || replica.State().HasPassed(sequence)
}
