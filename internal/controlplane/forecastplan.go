package controlplane

import (
	"context"
	"sort"

	"ferryspar/internal/drill"
	"ferryspar/internal/place"
)

// addPlan adds to a forecast what the placement holder would do; the forecast is partial if it
// cannot be asked.
func (d *Daemon) addPlan(ctx context.Context, merged *drill.Forecast, question drill.Question) {
	var plan drill.Plan
	holder := d.publisher.Current().LeaseHolder
	if holder == d.self {
		plan = d.hearPlan(ctx, question)
	} else if holder != "" {
		_ = d.peers.Call(ctx, "plan", holder, question, &plan)
	}
	if !plan.Holds {
		merged.Partial = true
		merged.Missing = append(merged.Missing, "placement holder "+holder)
		sort.Strings(merged.Missing)
		return
	}
	merged.Placement = plan.Steps
}

// hearPlan answers what this daemon would do as the holder; the plan does not hold if it is not the
// holder. The scheduler's goroutine works it out.
func (d *Daemon) hearPlan(ctx context.Context, question drill.Question) drill.Plan {
	reply := make(chan drill.Plan, 1)
	select {
	case d.scheduler.results <- func() { reply <- d.scheduler.forecastPlan(question.Scope) }:
	case <-ctx.Done():
		return drill.Plan{}
	}
	select {
	case plan := <-reply:
		return plan
	case <-ctx.Done():
		return drill.Plan{}
	}
}

// forecastPlan plans on a copy of the present state, without the zones of the scope.
func (w *Scheduler) forecastPlan(scope drill.Scope) drill.Plan {
	snapshot := w.daemon.publisher.Current()
	if table := w.currentTable(snapshot); table == nil || !w.Holding() {
		return drill.Plan{}
	}
	view := w.view(snapshot, w.table, w.daemon.clock()).Clone()
	view.RemoveZones(func(zone string) bool { return scope.Covers(zone, w.daemon.settings.Zones[zone]) })
	plan := drill.Plan{Holds: true, Steps: []drill.PlacementStep{}}
	for _, action := range place.Forecast(view) {
		plan.Steps = append(plan.Steps, drill.PlacementStep{
			Replica: action.Server,
			Load:    action.Load,
			Model:   action.Model,
			Why:     action.Reason,
		})
	}
	return plan
}

// demandRates are the rates by the model's key, in requests a second. Any goroutine may call it.
func (w *Scheduler) demandRates() map[string]float64 {
	w.lock.Lock()
	defer w.lock.Unlock()
	rates := make(map[string]float64, len(w.demand))
	for name, demand := range w.demand {
		rates[name] = demand.Rate
	}
	return rates
}

// suspects tells whether data planes suspect the replica. Any goroutine may call it.
func (w *Scheduler) suspects(id string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.tally.IsSuspected(id)
}
