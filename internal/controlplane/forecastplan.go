package controlplane

import (
	"context"
	"sort"

	"ferryspar/internal/drill"
	"ferryspar/internal/place"
)

// addPlan adds to a forecast what the placement holder would do; the forecast is partial if it
// cannot be asked.
func (n *Node) addPlan(ctx context.Context, merged *drill.Forecast, question drill.ForecastRequest) {
	var plan drill.PlacementPlan
	holder := n.publisher.Current().LeaseHolder
	if holder == n.self {
		plan = n.hearPlan(ctx, question)
	} else if holder != "" {
		_ = n.peers.Call(ctx, "plan", holder, question, &plan)
	}
	if !plan.HoldsLease {
		merged.Partial = true
		merged.Missing = append(merged.Missing, "placement holder "+holder)
		sort.Strings(merged.Missing)
		return
	}
	merged.Placement = plan.Steps
}

// hearPlan answers what this daemon would do as the holder; the plan does not hold if it is not the
// holder. The scheduler's goroutine works it out.
func (n *Node) hearPlan(ctx context.Context, question drill.ForecastRequest) drill.PlacementPlan {
	reply := make(chan drill.PlacementPlan, 1)
	select {
	case n.scheduler.results <- func() { reply <- n.scheduler.forecastPlan(question.Scope) }:
	case <-ctx.Done():
		return drill.PlacementPlan{}
	}
	select {
	case plan := <-reply:
		return plan
	case <-ctx.Done():
		return drill.PlacementPlan{}
	}
}

// forecastPlan plans on a copy of the present state, without the zones of the scope.
func (w *Scheduler) forecastPlan(scope drill.Scope) drill.PlacementPlan {
	snapshot := w.daemon.publisher.Current()
	if table := w.currentTable(snapshot); table == nil || !w.Holding() {
		return drill.PlacementPlan{}
	}
	view := w.view(snapshot, w.table, w.daemon.clock()).Clone()
	view.RemoveZones(func(zone string) bool { return scope.Covers(zone, w.daemon.settings.Zones[zone]) })
	plan := drill.PlacementPlan{HoldsLease: true, Steps: []drill.PlacementStep{}}
	for _, action := range place.Forecast(view) {
		plan.Steps = append(plan.Steps, drill.PlacementStep{
			Replica: action.Server,
			Load:    action.Load,
			Model:   action.Model,
			Reason:  action.Reason,
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
