package scheduler

import (
	"context"

	"ferryspar/internal/drill"
	"ferryspar/internal/placement"
)

// Forecast returns what the planner would do without the zones of a scope. The plan is empty, with HoldsLease false, if this
// node does not hold the lease or the context ends first. Any goroutine may call it; the planning loop computes the forecast.
func (s *Scheduler) Forecast(ctx context.Context, scope drill.Scope) drill.PlacementPlan {
	reply := make(chan drill.PlacementPlan, 1)
	select {
	case s.background.callbacks <- func() { reply <- s.forecast(scope) }:
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

// forecast plans on a copy of the current state without the zones of the scope.
func (s *Scheduler) forecast(scope drill.Scope) drill.PlacementPlan {
	state := s.state.State()
	table := s.configuration.update(&state)
	if table == nil || !s.lease.Holds() {
		return drill.PlacementPlan{}
	}
	view := s.planningView(&state, table, s.clock()).Clone()
	view.RemoveZones(func(zone string) bool { return scope.Covers(zone, s.settings.Zones[zone]) })
	plan := drill.PlacementPlan{HoldsLease: true, Steps: []drill.PlacementStep{}}
	for _, action := range placement.Forecast(view) {
		plan.Steps = append(plan.Steps, drill.PlacementStep{
			Replica: action.Server,
			Load:    action.Load,
			Model:   action.Model,
			Reason:  action.Reason,
		})
	}
	return plan
}
