package drill

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/discovery"
)

// MergeForecast merges the responses of the data planes with the view of the control plane. It updates the
// view's DataPlanes.
func MergeForecast(view FleetView, responses []ForecastResponse) Forecast {
	merged := Forecast{
		Scope:          view.Scope,
		Answered:       []string{},
		Missing:        []string{},
		DataPlanesLost: []string{},
		Cached:         map[string]CachedTokens{},
		Placement:      []PlacementStep{},
		Control:        view.controlForecast(),
	}
	answered := map[string]bool{}
	loads := map[string]ReplicaLoad{}
	for _, response := range responses {
		if !response.Ready {
			continue
		}
		answered[response.DataPlane] = true
		view.DataPlanes[response.DataPlane] = response.Zone
		merged.add(response)
		addLoads(loads, response.Replicas)
	}
	merged.recordDataPlanes(view, answered)
	merged.Routes = mergeRoutes(responses)
	view.addReplicas(&merged, loads)
	merged.LostModels = view.lostModels()
	merged.LoadEstimate = view.estimateLoading(merged.LostModels)
	return merged
}

// add adds a data plane's requests in flight and cached tokens to the forecast.
func (f *Forecast) add(response ForecastResponse) {
	f.Answered = append(f.Answered, response.DataPlane)
	f.InFlight.Add(response.InFlight)
	for model, cached := range response.Cached {
		sum := f.Cached[model]
		sum.Lost += cached.Lost
		sum.OnlyInScope += cached.OnlyInScope
		sum.Kept += cached.Kept
		f.Cached[model] = sum
	}
}

// addLoads adds loads by replica to the sums.
func addLoads(sums, loads map[string]ReplicaLoad) {
	for id, load := range loads {
		sum := sums[id]
		sum.Running += load.Running
		sum.Moved += load.Moved
		sums[id] = sum
	}
}

// recordDataPlanes records which data planes are lost and which didn't respond.
func (f *Forecast) recordDataPlanes(view FleetView, answered map[string]bool) {
	for name, zone := range view.DataPlanes {
		if !answered[name] {
			f.Missing = append(f.Missing, name)
		}
		if zone != "" && view.isLost(zone) {
			f.DataPlanesLost = append(f.DataPlanesLost, name)
		}
	}
	if len(view.DataPlanes) == 0 {
		f.Missing = append(f.Missing, "any edge")
	}
	f.Partial = len(f.Missing) > 0
	sort.Strings(f.Answered)
	sort.Strings(f.Missing)
	sort.Strings(f.DataPlanesLost)
}

// isLost reports whether a zone is in the scope.
func (v FleetView) isLost(zone string) bool { return v.Scope.Covers(zone, v.Zones[zone]) }

// mergeRoutes merges the data planes' forecasts by route, sorted by priority and name.
func mergeRoutes(responses []ForecastResponse) []RouteForecast {
	type firstTokenHistograms struct{ now, afterLoss *hdrhistogram.Histogram }
	merged, histograms := map[string]*RouteForecast{}, map[string]firstTokenHistograms{}
	for _, response := range responses {
		for _, route := range response.Routes {
			if merged[route.Name] == nil {
				merged[route.Name] = &RouteForecast{Name: route.Name, Priority: route.Priority, LatencyTargetMs: route.LatencyTargetMs}
				histograms[route.Name] = firstTokenHistograms{NewHistogram(), NewHistogram()}
			}
			merged[route.Name].RouteCounts.Add(route.RouteCounts)
			merged[route.Name].RatePerS += route.RatePerS
			MergeEncoded(histograms[route.Name].now, route.FirstTokenNow)
			MergeEncoded(histograms[route.Name].afterLoss, route.FirstTokenAfterLoss)
		}
	}
	list := []RouteForecast{}
	for name, route := range merged {
		route.FirstTokenNow, route.FirstTokenAfterLoss = Summarize(histograms[name].now), Summarize(histograms[name].afterLoss)
		list = append(list, *route)
	}
	sort.Slice(list, func(left, right int) bool {
		if list[left].Priority != list[right].Priority {
			return list[left].Priority < list[right].Priority
		}
		return list[left].Name < list[right].Name
	})
	return list
}

// addReplicas adds the lost replicas to a forecast, and the remaining ones with their load.
func (v FleetView) addReplicas(merged *Forecast, loads map[string]ReplicaLoad) {
	merged.ReplicasLost, merged.Replicas = []string{}, []ReplicaForecast{}
	for _, replica := range v.Replicas {
		if v.isLost(replica.Zone) {
			merged.ReplicasLost = append(merged.ReplicasLost, replica.ID)
			continue
		}
		if replica.State == discovery.StateDraining {
			continue
		}
		merged.ReplicasLeft++
		load := loads[replica.ID]
		merged.Replicas = append(merged.Replicas, ReplicaForecast{
			Replica: replica.ID,
			Zone:    replica.Zone,
			Slots:   replica.Slots,
			Running: load.Running,
			Moved:   load.Moved,
			Full:    load.Running+load.Moved >= replica.Slots,
		})
	}
}
