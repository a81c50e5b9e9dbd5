package controlplane

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
)

// currentTable is the table of the configuration in force, built once for each revision, or nil if
// there is none. One that cannot be read leaves the last in place.
func (s *Scheduler) currentTable(snapshot *Snapshot) *configuration.Table {
	if snapshot.Revision == 0 {
		return nil
	}
	if s.table == nil || s.table.Configuration.Revision != snapshot.Revision {
		document, err := configuration.Decompress(snapshot.PackedConfiguration)
		if err != nil {
			return s.table
		}
		if read, err := configuration.Decode(document); err == nil {
			s.table = configuration.NewTable(read, nil)
		}
	}
	return s.table
}

// step follows the list, asks for due reports, publishes what is known and plans, if there is
// reason to. It does nothing without a configuration and a fresh list.
func (s *Scheduler) syncOnce(ctx context.Context) {
	now := s.node.clock()
	snapshot := s.node.publisher.Current()
	table := s.currentTable(snapshot)
	if table == nil || snapshot.RosterAsOf.IsZero() || now.Sub(snapshot.RosterAsOf) > 3*time.Second {
		return
	}
	listed, readAt := s.node.roster.Current()
	s.adoptReplicaList(listed, readAt)
	for _, id := range s.duePolls(table, now) {
		s.pollReport(ctx, id)
	}
	if s.unpublished && now.Sub(s.publishedAt) >= publishInterval {
		s.publishObserved()
	}
	if !s.planDue(snapshot, now) {
		return
	}
	s.plan(ctx, snapshot, table, now)
	s.plannedAt = s.node.clock()
	s.planDuration = s.plannedAt.Sub(now)
}

// isPlacementTarget tells whether models are placed on the backend's replicas: those that declare a runtime.
func isPlacementTarget(table *configuration.Table, backend string) bool {
	backendConfiguration, _, known := table.Backend(backend)
	return known && backendConfiguration.Runtime != nil
}

// view is the planner's input at the moment.
func (s *Scheduler) planningView(snapshot *Snapshot, table *configuration.Table, now time.Time) *placement.View {
	view := &placement.View{
		Now:          now,
		Table:        table,
		Catalog:      s.currentCatalog(table),
		Demand:       s.demand,
		SizeHistory:  s.sizes,
		Loading:      map[string]int{},
		DrainedZones: map[string]bool{},
		StoreTokens:  s.loadTokens(now, table),
		DemandKnown:  s.hasLearnedDemand(now),
		Servers:      make([]*placement.Server, 0, len(s.sortedIDs)),
	}
	for zone, state := range snapshot.Zones {
		view.DrainedZones[zone] = state.Drained
	}
	for _, id := range s.sortedIDs {
		tracked := s.tracked[id]
		if !isPlacementTarget(table, tracked.listed.Backend) {
			continue
		}
		if tracked.pendingAction != nil && tracked.pendingAction.Load && tracked.listed.State != discovery.Draining {
			view.Loading[placement.ModelKey(tracked.listed.Backend, tracked.pendingAction.Model)]++
		}
	}
	s.addServers(view, now)
	return view
}

// plan runs the planner and starts its actions.
func (s *Scheduler) plan(ctx context.Context, snapshot *Snapshot, table *configuration.Table, now time.Time) {
	view := s.planningView(snapshot, table, now)
	s.planEviction(ctx, snapshot, view)
	for _, action := range placement.Plan(view) {
		if action.Reason == placement.ContextEvictionReason {
			s.eviction.running = action.Server + " " + action.Model
			s.eviction.startedAt = now
		}
		s.startAction(ctx, action, now)
	}
	for _, server := range view.Servers {
		s.tracked[server.ID].intent = server.Intent
	}
	if s.unpublished {
		s.publishObserved()
	}
	s.logStarvingModel(view, now)
}
