package scheduler

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/placement"
)

const (
	// maxRosterAge is how old the list may be for replicas to be placed on by it.
	maxRosterAge = 3 * time.Second
	// publishInterval is the least time between two publications of observations outside of plans.
	publishInterval = 50 * time.Millisecond
)

// syncOnce follows the list, polls the replicas that are due, publishes what is known and plans, if there is reason to. It
// does nothing without a configuration and a fresh list.
func (s *Scheduler) syncOnce(ctx context.Context) {
	now := s.clock()
	state := s.state.State()
	table := s.currentTable(&state)
	if table == nil || state.RosterAsOf.IsZero() || now.Sub(state.RosterAsOf) > maxRosterAge {
		return
	}
	listed, asOf := s.roster.Current()
	if s.tracker.AdoptList(listed, asOf, now) {
		s.pacer.markDirty()
	}
	for _, replica := range s.duePolls(table, now) {
		s.poll(ctx, replica)
	}
	if s.tracker.HasUnpublished() && now.Sub(s.publishedAt) >= publishInterval {
		s.publishObservations()
	}
	if s.pacer.planDue(s.demand, state.Version, now) {
		s.plan(ctx, &state, table, now)
		s.pacer.recordPlan(now, s.clock())
	}
}

// currentTable is the table of the configuration in force, built once for each revision, or nil if there is none. A
// configuration that cannot be read leaves the last one in place.
func (s *Scheduler) currentTable(state *State) *configuration.Table {
	if state.Revision == 0 {
		return nil
	}
	if s.table != nil && s.table.Configuration.Revision == state.Revision {
		return s.table
	}
	document, err := configuration.Decompress(state.PackedConfiguration)
	if err != nil {
		return s.table
	}
	if decoded, err := configuration.Decode(document); err == nil {
		s.table = configuration.NewTable(decoded, nil)
	}
	return s.table
}

// currentCatalog is the planner's catalog of the table, built once for each table.
func (s *Scheduler) currentCatalog(table *configuration.Table) *placement.Catalog {
	if !s.catalog.IsFor(table) {
		s.catalog = placement.NewCatalog(table)
	}
	return s.catalog
}

// findModel finds a backend's model in the newest configuration.
func (s *Scheduler) findModel(backend, name string) (*configuration.Model, bool) {
	_, index, found := s.table.Backend(backend)
	if !found {
		return nil, false
	}
	return s.table.Model(index, name)
}

// isPlacementTarget tells whether models are placed on a backend's replicas: those of backends that declare a runtime.
func isPlacementTarget(table *configuration.Table, backend string) bool {
	found, _, known := table.Backend(backend)
	return known && found.Runtime != nil
}

// plan runs the planner and starts its actions.
func (s *Scheduler) plan(ctx context.Context, state *State, table *configuration.Table, now time.Time) {
	view := s.planningView(state, table, now)
	s.eviction.plan(ctx, state, view)
	for _, action := range placement.Plan(view) {
		s.eviction.recordAction(action, now)
		s.startAction(ctx, action, now)
	}
	for _, server := range view.Servers {
		s.tracker.Replica(server.ID).SetIntent(server.Intent)
	}
	if s.tracker.HasUnpublished() {
		s.publishObservations()
	}
	s.logStarvingModel(view, now)
}

// planningView is the planner's input at the moment.
func (s *Scheduler) planningView(state *State, table *configuration.Table, now time.Time) *placement.View {
	isTarget := func(backend string) bool { return isPlacementTarget(table, backend) }
	view := &placement.View{
		Now:          now,
		Table:        table,
		Catalog:      s.currentCatalog(table),
		Demand:       s.demand.planned(),
		SizeHistory:  s.sizes,
		Loading:      s.loadsUnderWay(isTarget),
		DrainedZones: map[string]bool{},
		StoreTokens:  s.budget.available(now, table, s.mayStart),
		DemandKnown:  s.demand.isLearned(now),
		Servers:      s.tracker.Servers(isTarget, s.demand.IsSuspected, now),
	}
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
	return replica != nil && replica.State().MayStart()
}
