package drill

import (
	"sort"
	"strings"

	"ferryspar/internal/discovery"
)

func (v FleetView) controlForecast() ControlForecast {
	forecast := ControlForecast{Members: v.Members, Lost: []string{}, LeaseHolder: v.LeaseHolder}
	for _, member := range v.Members {
		zone := v.MemberZones[member]
		switch {
		case zone == "":
			forecast.UnknownZone = append(forecast.UnknownZone, member)
		case v.lost(zone):
			forecast.Lost = append(forecast.Lost, member)
		}
	}
	sort.Strings(forecast.Lost)
	forecast.KeepsMajority = len(v.Members)-len(forecast.Lost)-len(forecast.UnknownZone) > len(v.Members)/2
	forecast.LeaseMoves = v.lost(v.MemberZones[v.LeaseHolder])
	return forecast
}

// estimateLoading returns the least time of loading the lost models, backend by backend, since each backend
// has a store of its own.
func (v FleetView) estimateLoading(lost []LostModel) LoadEstimate {
	var estimate LoadEstimate
	for _, backend := range backends(lost) {
		bases := baseModels(lost, backend)
		loads, leastMs := v.leastLoadTime(backend, bases)
		estimate.Loads += loads
		estimate.MinMs = max(estimate.MinMs, leastMs)
		loads, leastMs = v.leastLoadTime(backend, inDemand(bases, lost))
		estimate.InDemandLoads += loads
		estimate.InDemandMinMs = max(estimate.InDemandMinMs, leastMs)
	}
	return estimate
}

func backends(lost []LostModel) []string {
	seen := map[string]bool{}
	var names []string
	for _, model := range lost {
		if !seen[model.Backend] {
			seen[model.Backend] = true
			names = append(names, model.Backend)
		}
	}
	return names
}

// baseModels returns the models of backend without the adapters, which no store load brings.
func baseModels(lost []LostModel, backend string) []LostModel {
	var bases []LostModel
	for _, model := range lost {
		if model.Backend == backend && !strings.Contains(model.Model, "/") {
			bases = append(bases, model)
		}
	}
	return bases
}

// inDemand returns the models that are requested, by themselves or by one of their adapters.
func inDemand(bases, lost []LostModel) []LostModel {
	var demanded []LostModel
	for _, base := range bases {
		if base.RatePerS != 0 || adapterInDemand(base, lost) {
			demanded = append(demanded, base)
		}
	}
	return demanded
}

func adapterInDemand(base LostModel, lost []LostModel) bool {
	for _, model := range lost {
		if model.Backend == base.Backend && model.RatePerS > 0 && strings.HasPrefix(model.Model, base.Model+"/") {
			return true
		}
	}
	return false
}

// leastLoadTime returns the number of loads and the milliseconds they take at least: bound by the
// longest, by what the replicas left can load side by side, and by the store's rate. The time is 0
// where no replica is left to load them.
func (v FleetView) leastLoadTime(backend string, models []LostModel) (loads int, leastMs float64) {
	total, longest := 0.0, 0.0
	for _, model := range models {
		total += model.LoadMs
		longest = max(longest, model.LoadMs)
	}
	replicas := v.replicasLeft(backend)
	if len(models) == 0 || replicas == 0 {
		return len(models), 0
	}
	leastMs = max(longest, total/float64(replicas))
	if rate := v.loadsPerS(backend); rate > 0 {
		leastMs = max(leastMs, float64(len(models)-1)/rate*1000+longest)
	}
	return len(models), leastMs
}

func (v FleetView) replicasLeft(backend string) int {
	count := 0
	for _, replica := range v.Replicas {
		if replica.Backend == backend && !v.lost(replica.Zone) && replica.State != discovery.Draining {
			count++
		}
	}
	return count
}

func (v FleetView) loadsPerS(backend string) float64 {
	found, _, known := v.Table.Backend(backend)
	if !known || found.Runtime == nil {
		return 0
	}
	return found.Runtime.LoadsPerS
}
