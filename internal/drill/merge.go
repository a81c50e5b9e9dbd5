package drill

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/discovery"
)

// MergeForecast joins the answers of the data planes with the view of the control plane. It changes the
// view's DataPlanes.
func MergeForecast(view FleetView, answers []ForecastResponse) Forecast {
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
	for _, answer := range answers {
		if !answer.Ready {
			continue
		}
		answered[answer.DataPlane] = true
		view.DataPlanes[answer.DataPlane] = answer.Zone
		merged.add(answer)
		addLoads(loads, answer.Replicas)
	}
	merged.recordDataPlanes(view, answered)
	merged.Routes = mergeRoutes(answers)
	view.addReplicas(&merged, loads)
	merged.LostModels = view.lostModels()
	merged.LoadEstimate = view.estimateLoading(merged.LostModels)
	return merged
}

func (f *Forecast) add(answer ForecastResponse) {
	f.Answered = append(f.Answered, answer.DataPlane)
	f.InFlight.Add(answer.InFlight)
	for model, cached := range answer.Cached {
		sum := f.Cached[model]
		sum.Lost += cached.Lost
		sum.OnlyInScope += cached.OnlyInScope
		sum.Kept += cached.Kept
		f.Cached[model] = sum
	}
}

func addLoads(sums, loads map[string]ReplicaLoad) {
	for id, load := range loads {
		sum := sums[id]
		sum.Running += load.Running
		sum.Moved += load.Moved
		sums[id] = sum
	}
}

func (f *Forecast) recordDataPlanes(view FleetView, answered map[string]bool) {
	for name, zone := range view.DataPlanes {
		if !answered[name] {
			f.Missing = append(f.Missing, name)
		}
		if zone != "" && view.lost(zone) {
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

func (v FleetView) lost(zone string) bool { return v.Scope.Covers(zone, v.Zones[zone]) }

func mergeRoutes(answers []ForecastResponse) []RouteForecast {
	type spreads struct{ now, then *hdrhistogram.Histogram }
	merged, histograms := map[string]*RouteForecast{}, map[string]spreads{}
	for _, answer := range answers {
		for _, route := range answer.Routes {
			if merged[route.Name] == nil {
				merged[route.Name] = &RouteForecast{Name: route.Name, Priority: route.Priority, LatencyTargetMs: route.LatencyTargetMs}
				histograms[route.Name] = spreads{NewHistogram(), NewHistogram()}
			}
			merged[route.Name].RouteCounts.Add(route.RouteCounts)
			merged[route.Name].RatePerS += route.RatePerS
			MergeEncoded(histograms[route.Name].now, route.FirstTokenNow)
			MergeEncoded(histograms[route.Name].then, route.FirstTokenAfterLoss)
		}
	}
	list := []RouteForecast{}
	for name, route := range merged {
		route.FirstTokenNow, route.FirstTokenAfterLoss = Summarize(histograms[name].now), Summarize(histograms[name].then)
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

func (v FleetView) addReplicas(merged *Forecast, loads map[string]ReplicaLoad) {
	merged.ReplicasLost, merged.Replicas = []string{}, []ReplicaForecast{}
	for _, replica := range v.Replicas {
		if v.lost(replica.Zone) {
			merged.ReplicasLost = append(merged.ReplicasLost, replica.ID)
			continue
		}
		if replica.State == discovery.Draining {
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
