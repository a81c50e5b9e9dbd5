package controlplane

import (
	"context"
	"sort"

	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// addPlacementForecast adds to a forecast what the placement holder would do; the forecast is partial if it
// cannot be asked.
func (n *Node) addPlacementForecast(ctx context.Context, merged *drill.Forecast, request drill.ForecastRequest) {
	var plan drill.PlacementPlan
	holder := n.publisher.Current().LeaseHolder
	if holder == n.self {
		plan = n.handlePlanRequest(ctx, request)
	} else if holder != "" {
		_ = n.peers.Call(ctx, peer.MethodForecastPlan, holder, request, &plan)
	}
	if !plan.HoldsLease {
		merged.Partial = true
		merged.Missing = append(merged.Missing, "placement holder "+holder)
		sort.Strings(merged.Missing)
		return
	}
	merged.Placement = plan.Steps
}

// handlePlanRequest answers what this daemon would do as the holder; the plan does not hold if it is not the
// holder. The scheduler's goroutine works it out.
func (n *Node) handlePlanRequest(ctx context.Context, request drill.ForecastRequest) drill.PlacementPlan {
	reply := make(chan drill.PlacementPlan, 1)
	select {
	case n.scheduler.callbacks <- func() { reply <- n.scheduler.forecastPlan(request.Scope) }:
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
func (s *Scheduler) forecastPlan(scope drill.Scope) drill.PlacementPlan {
	snapshot := s.node.publisher.Current()
	if table := s.currentTable(snapshot); table == nil || !s.HoldsLease() {
		return drill.PlacementPlan{}
	}
	view := s.planningView(snapshot, s.table, s.node.clock()).Clone()
	view.RemoveZones(func(zone string) bool { return scope.Covers(zone, s.node.settings.Zones[zone]) })
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

// demandRates are the rates by the model's key, in requests a second. Any goroutine may call it.
func (s *Scheduler) demandRates() map[string]float64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	rates := make(map[string]float64, len(s.demand))
	for name, demand := range s.demand {
		rates[name] = demand.Rate
	}
	return rates
}

// suspects tells whether data planes suspect the replica. Any goroutine may call it.
func (s *Scheduler) isSuspected(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.aggregator.IsSuspected(id)
}
