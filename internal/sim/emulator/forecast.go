package emulator

import (
	"fmt"
	"slices"
	"strings"

	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/placement"
)

// Names of the figures of the daemons' forecast, in addition to those of ForecastByLoadReports.
const (
	// FigureInterrupted counts the requests at lost replicas and those queued at any data plane.
	FigureInterrupted = "requests at lost replicas or waiting"
	// FigureContinuing counts the interrupted requests that continue at surviving replicas.
	FigureContinuing = "of these, going on elsewhere"
	// FigurePlaced counts the interrupted requests that would be placed if all clients retried.
	FigurePlaced = "of these, placed were all to ask again"
	// FigureMovedTo is followed by a replica's ID and counts the requests that continue there.
	FigureMovedTo = "requests moved to replica "
	// FigureFull counts the surviving replicas that become full.
	FigureFull = "replicas left that are full"
	// FigureRegionBound counts the interrupted requests that may run in lost regions only.
	FigureRegionBound = "of these, bound to the lost"
	// FigureLoads counts the model loads that the placement starts.
	FigureLoads = "loads"
)

// Names of the figures of a route, which follow the route's name: AfterLoss for the time after the loss,
// BeforeLoss for the time before it.
const (
	// AfterLossNotLoaded is the share of requests whose model no surviving replica has loaded.
	AfterLossNotLoaded = "share nowhere loaded"
	// AfterLossWaiting is the share of requests that wait for a free slot.
	AfterLossWaiting = "share waiting for a place"
	// AfterLossRegionBound is the share of requests that may run in lost regions only.
	AfterLossRegionBound = "share bound to the lost"
	// AfterLossLate is the share of requests without a first token within the target latency.
	AfterLossLate = "share with no first token inside the aim"
	// AfterLossP50, AfterLossP90 and AfterLossP99 are quantiles of the time to first token.
	AfterLossP50 = "first token p50, ms"
	AfterLossP90 = "first token p90, ms"
	AfterLossP99 = "first token p99, ms"
	// BeforeLossLate is AfterLossLate before the loss.
	BeforeLossLate = "now: share with no first token inside the aim"
	// BeforeLossP50, BeforeLossP90 and BeforeLossP99 are the quantiles before the loss.
	BeforeLossP50 = "now: first token p50, ms"
	BeforeLossP90 = "now: first token p90, ms"
	BeforeLossP99 = "now: first token p99, ms"
)

// GatherForecast computes the daemons' forecast from the snapshot: the merged responses of all edges and the
// actions that the placement would take. It also returns the responses.
func (s Snapshot) GatherForecast() (drill.Forecast, []drill.ForecastResponse) {
	fleet := drill.FleetView{
		Scope:      s.Loss.Scope,
		Zones:      s.Loss.Regions,
		Replicas:   s.replicasAsKnown(),
		Table:      s.Table,
		Demand:     map[string]float64{},
		DataPlanes: map[string]string{},
	}
	for name, entry := range s.Demand {
		fleet.Demand[name] = entry.Rate
	}
	var answers []drill.ForecastResponse
	for number, state := range s.DataPlanes {
		answer := state.Matcher.ForecastSync(s.Loss)
		answer.DataPlane = fmt.Sprintf("edge-%03d", number)
		answer.Zone = state.Zone
		fleet.DataPlanes[answer.DataPlane] = state.Zone
		answers = append(answers, answer)
	}
	merged := drill.MergeForecast(fleet, answers)
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

// replicasAsKnown returns the platform's list with the models that the planner knows to be loaded.
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

// ForecastByMatchers returns a Forecaster that runs the daemons' own code. Its figure for recomputed
// prompt tokens covers the given number of seconds after the loss.
func ForecastByMatchers(afterS float64) Forecaster {
	return func(before Snapshot) Forecast {
		merged, answers := before.GatherForecast()
		forecast := Forecast{
			FigureWithoutCopy:      float64(len(merged.LostModels)),
			FigurePlaced:           float64(merged.InFlight.Placed),
			FigureInterrupted:      float64(merged.InFlight.OnLostReplicas + merged.InFlight.Waiting),
			FigureContinuing:       float64(merged.InFlight.Resumable + merged.InFlight.Waiting),
			FigureRegionBound:      float64(merged.InFlight.AllRegionsLost),
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

// addMoving counts the requests that must move: all requests of lost edges, and those that surviving edges
// have at lost replicas.
func (f Forecast) addMoving(answers []drill.ForecastResponse, lost map[string]bool) {
	for _, answer := range answers {
		if lost[answer.Zone] {
			f[FigureMoving] += float64(answer.InFlight.Running + answer.InFlight.Waiting)
		} else {
			f[FigureMoving] += float64(answer.InFlight.OnLostReplicas)
		}
	}
}

// addReplicas adds the figures for caches, surviving replicas and loads.
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
		AfterLossNotLoaded:   share(route.ModelNotLoaded),
		AfterLossWaiting:     share(route.Waiting),
		AfterLossRegionBound: share(route.AllRegionsLost),
		AfterLossLate:        share(route.Late + route.Waiting + route.ModelNotLoaded + route.AllRegionsLost),
		BeforeLossLate:       share(route.LateNow + route.WaitingNow + route.ModelNotLoadedNow),
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
