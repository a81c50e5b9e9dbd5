package controlplane

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
)

// currentTable is the table of the configuration in force, built once for each revision, or nil if
// there is none. One that cannot be read leaves the last in place.
func (w *Scheduler) currentTable(snapshot *Snapshot) *configuration.Table {
	if snapshot.Revision == 0 {
		return nil
	}
	if w.table == nil || w.table.Configuration.Revision != snapshot.Revision {
		document, err := configuration.Decompress(snapshot.PackedConfiguration)
		if err != nil {
			return w.table
		}
		if read, err := configuration.Decode(document); err == nil {
			w.table = configuration.NewTable(read, nil)
		}
	}
	return w.table
}

// step follows the list, asks for due reports, publishes what is known and plans, if there is
// reason to. It does nothing without a configuration and a fresh list.
func (w *Scheduler) step(ctx context.Context) {
	now := w.daemon.clock()
	snapshot := w.daemon.publisher.Current()
	table := w.currentTable(snapshot)
	if table == nil || snapshot.RosterAsOf.IsZero() || now.Sub(snapshot.RosterAsOf) > 3*time.Second {
		return
	}
	listed, readAt := w.daemon.roster.current()
	w.adoptList(listed, readAt)
	for _, id := range w.duePolls(table, now) {
		w.pollReport(ctx, id)
	}
	if w.unshown && now.Sub(w.shown) >= showPause {
		w.showOverlays()
	}
	if !w.mayPlan(snapshot, now) {
		return
	}
	w.plan(ctx, snapshot, table, now)
	w.planned = w.daemon.clock()
	w.spent = w.planned.Sub(now)
}

// isPlaced tells whether models are placed on the backend's replicas: those that declare a runtime.
func isPlaced(table *configuration.Table, backend string) bool {
	found, _, known := table.Backend(backend)
	return known && found.Runtime != nil
}

// view is the planner's input at the moment.
func (w *Scheduler) view(snapshot *Snapshot, table *configuration.Table, now time.Time) *place.View {
	view := &place.View{
		Now:          now,
		Table:        table,
		Catalog:      w.currentCatalog(table),
		Demand:       w.demand,
		SizeHistory:  w.sizes,
		Loading:      map[string]int{},
		DrainedZones: map[string]bool{},
		StoreTokens:  w.loadTokens(now, table),
		DemandKnown:  w.learned(now),
		Servers:      make([]*place.Server, 0, len(w.order)),
	}
	for zone, state := range snapshot.Zones {
		view.DrainedZones[zone] = state.Drained
	}
	for _, id := range w.order {
		one := w.managed[id]
		if !isPlaced(table, one.listed.Backend) {
			continue
		}
		if one.pending != nil && one.pending.Load && one.listed.State != platform.Draining {
			view.Loading[place.ModelKey(one.listed.Backend, one.pending.Model)]++
		}
	}
	w.addServers(view, now)
	return view
}

// plan runs the planner and starts its actions.
func (w *Scheduler) plan(ctx context.Context, snapshot *Snapshot, table *configuration.Table, now time.Time) {
	view := w.view(snapshot, table, now)
	w.planEviction(ctx, snapshot, view)
	for _, action := range place.Plan(view) {
		if action.Reason == place.ContextEvictionReason {
			w.eviction.running = action.Server + " " + action.Model
			w.eviction.startedAt = now
		}
		w.startAction(ctx, action, now)
	}
	for _, server := range view.Servers {
		w.managed[server.ID].intent = server.Intent
	}
	if w.unshown {
		w.showOverlays()
	}
	w.explain(view, now)
}
