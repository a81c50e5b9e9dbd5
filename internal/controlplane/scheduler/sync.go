package scheduler

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/placement"
)

// maxRosterAge is how old the list may be for models to be placed by it. A long list is as old as its reading took when it is
// complete, and twice as old just before the next one is.
const maxRosterAge = 6 * time.Second

// syncOnce follows the list, polls the replicas that are due, publishes what is known and plans, if there is reason to. It
// does nothing without a configuration and a fresh list.
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

// planningView is the planner's input at the moment.
func (s *Scheduler) planningView(state *State, table *configuration.Table, now time.Time) *placement.View {
	isTarget := func(backend string) bool { return isPlacementTarget(table, backend) }
	view := &placement.View{
		Now:          now,
		Table:        table,
		Catalog:      s.configuration.catalogOf(table),
		Demand:       s.demand.planned(),
		SizeHistory:  s.sizes,
		Loading:      s.loadsUnderWay(isTarget),
		DrainedZones: map[string]bool{},
		StoreTokens:  s.budget.available(now, table, s.mayStart),
		DemandKnown:  s.demand.isLearned(now),
		Servers:      s.tracker.Servers(isTarget, s.demand.suspectedAmong(s.tracker.Listed()), now),
	}
	view.SpareStoreTokens = s.budget.spare(now)
	for zone, zoneState := range state.Zones {
		view.DrainedZones[zone] = zoneState.Drained
	}
	return view
}

// loadsUnderWay counts the loads under way at replicas of some backends, by model key.
func (s *Scheduler) loadsUnderWay(isTarget func(backend string) bool) map[string]int {
	loading := map[string]int{}
	for _, replica := range s.tracker.Listed() {
		action := replica.Action()
		if action != nil && action.Load && !replica.IsDraining() && isTarget(replica.Backend()) {
			loading[placement.ModelKey(replica.Backend(), action.Model)]++
		}
	}
	return loading
}

// mayStart tells whether the order under way at a replica may yet be taken.
func (s *Scheduler) mayStart(id string) bool {
	replica := s.tracker.Replica(id)
	return replica != nil && replica.State().HasUnconfirmedOrder()
}
