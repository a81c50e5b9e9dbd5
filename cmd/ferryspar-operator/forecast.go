package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ferryspar/internal/drill"
)

// printForecast prints what the loss of a scope would do, as tables.
func printForecast(forecast drill.Forecast) {
	printForecastSummary(forecast)
	printRouteForecasts(forecast.Routes)
	printCachedTokens(forecast.Cached)
	printLostModels(forecast)
	printTable("what placement would do first", "replica model load why", func(addRow func(...any)) {
		for _, step := range forecast.Placement {
			addRow(step.Replica, step.Model, step.Load, step.Reason)
		}
	})
	printTable("replicas left", "replica zone slots running moved_to full", func(addRow func(...any)) {
		for _, replica := range forecast.Replicas {
			addRow(replica.Replica, replica.Zone, replica.Slots, replica.Running, replica.Moved, replica.Full)
		}
	})
}

func printForecastSummary(forecast drill.Forecast) {
	answered := len(forecast.Answered)
	fmt.Printf("forecast: %s is lost; answered by %d of %d edges\n", forecast.Scope, answered, answered+len(forecast.Missing))
	if forecast.Partial {
		fmt.Println("PARTIAL: no answer from", strings.Join(forecast.Missing, ", "))
	}
	fmt.Printf("lost: edges %v, replicas %v; replicas left: %d\n",
		forecast.DataPlanesLost, forecast.ReplicasLost, forecast.ReplicasLeft)
	control := forecast.Control
	fmt.Printf("control: members lost %v of %d, majority stays: %t, placement moves: %t\n",
		control.Lost, len(control.Members), control.KeepsMajority, control.LeaseMoves)
	flight := forecast.InFlight
	fmt.Printf("in flight: %d of %d run at lost replicas (%d go on elsewhere, %d are cut); %d wait; "+
		"of both %d find a place, %d wait on, %d are bound to what is lost\n",
		flight.OnLostReplicas, flight.Running, flight.Resumable, flight.Aborted, flight.Waiting,
		flight.Placed, flight.StillWaiting, flight.BoundToLost)
}

func printRouteForecasts(routes []drill.RouteForecast) {
	const title = "requests as of late, were they to come now (first token in ms: p50/p90/p99)"
	const columns = "route priority per_s sampled stay move wait nowhere bound late_now late_then first_now first_then read_again"
	printTable(title, columns, func(addRow func(...any)) {
		for _, route := range routes {
			addRow(
				route.Name, route.Priority, fmt.Sprintf("%.1f", route.RatePerS),
				route.Sampled, route.Staying, route.Moved, route.Waiting, route.NowhereLoaded, route.BoundToLost,
				route.LateNow, route.Late,
				formatQuantiles(route.FirstTokenNow), formatQuantiles(route.FirstTokenAfterLoss),
				int(route.RecomputedTokens),
			)
		}
	})
}

func printCachedTokens(cached map[string]drill.CachedTokens) {
	printTable("warm prompt tokens", "model lost of_these_nowhere_else kept", func(addRow func(...any)) {
		for _, name := range slices.Sorted(maps.Keys(cached)) {
			tokens := cached[name]
			addRow(name, int(tokens.Lost), int(tokens.OnlyInScope), int(tokens.Kept))
		}
	})
}

func printLostModels(forecast drill.Forecast) {
	loading := forecast.LoadEstimate
	title := fmt.Sprintf("no copy left (%d loads, at least %.1f s; the %d in demand at least %.1f s)",
		loading.Loads, loading.MinMs/1000, loading.InDemand, loading.InDemandMinMs/1000)
	printTable(title, "backend model per_s", func(addRow func(...any)) {
		for _, model := range forecast.LostModels {
			addRow(model.Backend, model.Model, fmt.Sprintf("%.2f", model.RatePerS))
		}
	})
}

// formatQuantiles formats the median and the 90th and 99th percentile, "-" without any value.
func formatQuantiles(quantiles drill.Quantiles) string {
	if quantiles.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d/%d", quantiles.P50, quantiles.P90, quantiles.P99)
}
