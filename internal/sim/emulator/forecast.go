package emulator

import (
	"fmt"
	"slices"
	"strings"

	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/placement"
)

// The figures of the daemons' forecast, beside those of CountByLoad.
const (
	// FigureInterrupted counts the requests at lost replicas and those that wait in any data plane.
	FigureInterrupted = "requests at lost replicas or waiting"
	// FigureContinuing counts those of them that go on at surviving replicas.
	FigureContinuing = "of these, going on elsewhere"
	// FigurePlaced counts those of them that would find a place if all clients asked again.
	FigurePlaced = "of these, placed were all to ask again"
	// FigureMovedTo is followed by a replica's id and counts the requests that go on there.
	FigureMovedTo = "requests moved to replica "
	// FigureFull counts the surviving replicas that fill up.
	FigureFull = "replicas left that are full"
	// FigureRegionBound counts the interrupted requests that may run in lost regions only.
	FigureRegionBound = "of these, bound to the lost"
	// FigureLoads counts the loads of models that the placement begins.
	FigureLoads = "loads"
)

// The figures of a route, whose name precedes them: Then for after the loss, Now for before it.
const (
	// AfterLossNotLoaded is the share of requests whose model no surviving replica has loaded.
	AfterLossNotLoaded = "share nowhere loaded"
	// AfterLossWaiting is the share of requests that wait for a place.
	AfterLossWaiting = "share waiting for a place"
	// AfterLossRegionBound is the share of requests that may run in lost regions only.
	AfterLossRegionBound = "share bound to the lost"
	// AfterLossLate is the share of requests without a first token inside the target latency.
	AfterLossLate = "share with no first token inside the aim"
	// AfterLossP50, ThenTail and ThenLast are quantiles of the time to the first token.
	AfterLossP50 = "first token p50, ms"
	AfterLossP90 = "first token p90, ms"
	AfterLossP99 = "first token p99, ms"
	// BeforeLossLate is ThenMissed before the loss.
	BeforeLossLate = "now: share with no first token inside the aim"
	// BeforeLossP50, NowTail and NowLast are the quantiles before the loss.
	BeforeLossP50 = "now: first token p50, ms"
	BeforeLossP90 = "now: first token p90, ms"
	BeforeLossP99 = "now: first token p99, ms"
)

// GatherForecast makes the forecast of the daemons from this snapshot: every edge's answer, merged with the
// plan of the placement.
func (s Snapshot) GatherForecast() (drill.Forecast, []drill.ForecastResponse) {
	basis := drill.FleetView{
		Scope:      s.Loss.Scope,
		Zones:      s.Loss.Regions,
		Replicas:   s.replicasAsKnown(),
		Table:      s.Table,
		Demand:     map[string]float64{},
		DataPlanes: map[string]string{},
	}
	for name, entry := range s.Demand {
		basis.Demand[name] = entry.Rate
	}
	var answers []drill.ForecastResponse
	for number, state := range s.DataPlanes {
		answer := state.Matcher.ForecastSync(s.Loss)
		answer.DataPlane = fmt.Sprintf("edge-%03d", number)
		answer.Zone = state.Zone
		basis.DataPlanes[answer.DataPlane] = state.Zone
		answers = append(answers, answer)
	}
	merged := drill.Merge(basis, answers)
	view := s.View.Clone()
	view.RemoveZones(func(zone string) bool { return s.Loss.Covers(zone, s.Loss.Regions[zone]) })
	for _, action := range placement.Forecast(view) {
		merged.Placement = append(merged.Placement, drill.PlacementStep{
			Replica: action.Server,
			Load:    action.Load,
			Model:   action.Model,
			Reason:  action.Reason,
		})
	}
	return merged, answers
}

// replicasAsKnown is the platform's list with the models that the planner knows of.
func (s Snapshot) replicasAsKnown() []discovery.Replica {
	listed := slices.Clone(s.Listed)
	for _, planned := range s.View.Servers {
		for index := range listed {
			if listed[index].ID == planned.ID && len(planned.Loaded) > 0 {
				listed[index].Models = loadedModels(planned.Loaded)
			}
		}
	}
	return listed
}

// ForecastByMatchers forecasts with the daemons' own code; figures of reading are over the given seconds
// after the loss.
func ForecastByMatchers(afterS float64) Forecaster {
	return func(before Snapshot) Forecast {
		merged, answers := before.GatherForecast()
		forecast := Forecast{
			FigureWithoutCopy:      float64(len(merged.LostModels)),
			FigurePlaced:           float64(merged.InFlight.Placed),
			FigureInterrupted:      float64(merged.InFlight.OnLostReplicas + merged.InFlight.Waiting),
			FigureContinuing:       float64(merged.InFlight.Resumable + merged.InFlight.Waiting),
			FigureRegionBound:      float64(merged.InFlight.BoundToLost),
			FigureMoving:           0,
			FigureLostCachedTokens: 0,
			FigureFull:             0,
			FigureLoads:            0,
			FigureRecomputedTokens: 0,
			FigureReloadTime:       merged.LoadEstimate.InDemandMinMs / 1000,
		}
		forecast.addMoving(answers, before.Lost)
		forecast.addReplicas(merged)
		for _, route := range merged.Routes {
			if route.Sampled > 0 {
				forecast[FigureRecomputedTokens] += route.RecomputedTokens / float64(route.Sampled) * route.RatePerS * afterS
				forecast.addRoute(route)
			}
		}
		return forecast
	}
}

// addMoving counts the requests that must move: all of a lost edge, and those that a spared edge
// has at lost replicas.
func (f Forecast) addMoving(answers []drill.ForecastResponse, lost map[string]bool) {
	for _, answer := range answers {
		if lost[answer.Zone] {
			f[FigureMoving] += float64(answer.InFlight.Running + answer.InFlight.Waiting)
		} else {
			f[FigureMoving] += float64(answer.InFlight.OnLostReplicas)
		}
	}
}

// addReplicas adds what the forecast says of caches, surviving replicas and loads.
func (f Forecast) addReplicas(merged drill.Forecast) {
	for _, cached := range merged.Cached {
		f[FigureLostCachedTokens] += cached.Lost
	}
	for _, replica := range merged.Replicas {
		f[FigureMovedTo+replica.Replica] = float64(replica.Moved)
		if replica.Full {
			f[FigureFull]++
		}
	}
	for _, step := range merged.Placement {
		if step.Load && !strings.Contains(step.Model, "/") {
			f[FigureLoads]++
		}
	}
}

// addRoute adds a route's shares and quantiles.
func (f Forecast) addRoute(route drill.RouteForecast) {
	share := func(amount int) float64 { return float64(amount) / float64(route.Sampled) }
	for name, value := range map[string]float64{
		AfterLossNotLoaded:   share(route.NowhereLoaded),
		AfterLossWaiting:     share(route.Waiting),
		AfterLossRegionBound: share(route.BoundToLost),
		AfterLossLate:        share(route.Late + route.Waiting + route.NowhereLoaded + route.BoundToLost),
		BeforeLossLate:       share(route.LateNow + route.WaitingNow + route.NowhereLoadedNow),
	} {
		f[route.Name+": "+name] = value
	}
	f.addQuantiles(route.Name, route.FirstTokenAfterLoss, AfterLossP50, AfterLossP90, AfterLossP99)
	f.addQuantiles(route.Name, route.FirstTokenNow, BeforeLossP50, BeforeLossP90, BeforeLossP99)
}

// addQuantiles adds a route's quantiles under the three names, if there are any samples.
func (f Forecast) addQuantiles(route string, of drill.Quantiles, median, tail, last string) {
	if of.Count > 0 {
		f[route+": "+median] = float64(of.P50)
		f[route+": "+tail] = float64(of.P90)
		f[route+": "+last] = float64(of.P99)
	}
}
