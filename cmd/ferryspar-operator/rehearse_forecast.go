package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ferryspar/internal/drill"
)

// forecast requests and prints a forecast. It returns an error with exitPartial if data planes are missing from it.
func (r *rehearseCommand) forecast(scope drill.Scope) error {
	content, err := r.app.postRehearsal(drill.Request{Kind: drill.KindForecast, Scope: scope})
	if err != nil {
		return err
	}
	var forecast drill.Forecast
	if err := decode("the forecast", content, &forecast); err != nil {
		return err
	}
	if r.app.options.JSON {
		r.app.printRaw(content)
	} else {
		r.app.printForecast(forecast)
	}
	if forecast.Partial {
		return newExitError(exitPartial, "partial forecast: no response from %s", strings.Join(forecast.Missing, ", "))
	}
	return nil
}

func (a *application) printForecast(forecast drill.Forecast) {
	a.printForecastSummary(forecast)
	tables := []*table{
		newRouteForecastTable(forecast.Routes),
		newCachedTokensTable(forecast.Cached),
		newLostModelTable(forecast.LostModels, forecast.LoadEstimate),
		newPlacementTable(forecast.Placement),
		newReplicaForecastTable(forecast.Replicas),
	}
	for _, table := range tables {
		table.write(a.stdout)
	}
}

func (a *application) printForecastSummary(forecast drill.Forecast) {
	answered, missing := len(forecast.Answered), len(forecast.Missing)
	a.printf("forecast: %s is lost; answered by %d of %d edges\n", forecast.Scope, answered, answered+missing)
	if forecast.Partial {
		a.printLine("PARTIAL: no answer from", strings.Join(forecast.Missing, ", "))
	}
	a.printf("lost: edges %v, replicas %v; replicas left: %d\n",
		forecast.DataPlanesLost, forecast.ReplicasLost, forecast.ReplicasLeft)
	control := forecast.Control
	a.printf("control: members lost %v of %d, majority stays: %t, placement moves: %t\n",
		control.Lost, len(control.Members), control.KeepsMajority, control.LeaseMoves)
	inFlight := forecast.InFlight
	a.printf("in flight: %d of %d run at lost replicas (%d go on elsewhere, %d are cut); %d wait; ",
		inFlight.OnLostReplicas, inFlight.Running, inFlight.Resumable, inFlight.Aborted, inFlight.Waiting)
	a.printf("of both %d find a place, %d wait on, %d are bound to what is lost\n",
		inFlight.Placed, inFlight.StillWaiting, inFlight.AllRegionsLost)
}

func newRouteForecastTable(routes []drill.RouteForecast) *table {
	forecasts := newTable("requests as of late, were they to come now (first token in ms: p50/p90/p99)",
		"route", "priority", "per_s", "sampled", "stay", "move", "wait", "nowhere", "bound",
		"late_now", "late_then", "first_now", "first_then", "read_again")
	for _, route := range routes {
		forecasts.addRow(
			route.Name,
			route.Priority,
			fmt.Sprintf("%.1f", route.RatePerS),
			route.Sampled,
			route.NotMoved,
			route.Moved,
			route.Waiting,
			route.ModelNotLoaded,
			route.AllRegionsLost,
			route.LateNow,
			route.Late,
			formatQuantiles(route.FirstTokenNow),
			formatQuantiles(route.FirstTokenAfterLoss),
			int(route.RecomputedTokens),
		)
	}
	return forecasts
}

func newCachedTokensTable(cached map[string]drill.CachedTokens) *table {
	tokens := newTable("warm prompt tokens", "model", "lost", "of_these_nowhere_else", "kept")
	for _, model := range slices.Sorted(maps.Keys(cached)) {
		counts := cached[model]
		tokens.addRow(model, int(counts.Lost), int(counts.OnlyInScope), int(counts.Kept))
	}
	return tokens
}

func newLostModelTable(models []drill.LostModel, estimate drill.LoadEstimate) *table {
	title := fmt.Sprintf("no copy left (%d loads, at least %.1f s; the %d in demand at least %.1f s)",
		estimate.Loads, seconds(estimate.MinMs), estimate.InDemandLoads, seconds(estimate.InDemandMinMs))
	lost := newTable(title, "backend", "model", "per_s")
	for _, model := range models {
		lost.addRow(model.Backend, model.Model, fmt.Sprintf("%.2f", model.RatePerS))
	}
	return lost
}

func seconds(milliseconds float64) float64 {
	return milliseconds / float64(time.Second/time.Millisecond)
}

func newPlacementTable(steps []drill.PlacementStep) *table {
	placement := newTable("what placement would do first", "replica", "model", "load", "why")
	for _, step := range steps {
		placement.addRow(step.Replica, step.Model, step.Load, step.Reason)
	}
	return placement
}

func newReplicaForecastTable(replicas []drill.ReplicaForecast) *table {
	left := newTable("replicas left", "replica", "zone", "slots", "running", "moved_to", "full")
	for _, replica := range replicas {
		left.addRow(replica.Replica, replica.Zone, replica.Slots, replica.Running, replica.Moved, replica.Full)
	}
	return left
}
