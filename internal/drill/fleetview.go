package drill

import (
	"sort"
	"strings"

	"ferryspar/internal/discovery"
)

// controlForecast predicts the effects of the loss on the control plane.
func (v FleetView) controlForecast() ControlForecast {
	forecast := ControlForecast{Members: v.Members, Lost: []string{}, LeaseHolder: v.LeaseHolder}
	for _, member := range v.Members {
		zone := v.MemberZones[member]
		switch {
		case zone == "":
			forecast.UnknownZone = append(forecast.UnknownZone, member)
		case v.isLost(zone):
			forecast.Lost = append(forecast.Lost, member)
		}
	}
	sort.Strings(forecast.Lost)
	forecast.KeepsMajority = len(v.Members)-len(forecast.Lost)-len(forecast.UnknownZone) > len(v.Members)/2
	forecast.LeaseMoves = v.isLost(v.MemberZones[v.LeaseHolder])
	return forecast
}

// estimateLoading returns the minimum time for loading the lost models. Backends load in parallel, since each has a
// store of its own.
func (v FleetView) estimateLoading(lost []LostModel) LoadEstimate {
	var estimate LoadEstimate
	for _, backend := range backends(lost) {
		bases := baseModels(lost, backend)
		loads, minMs := v.minLoadTime(backend, bases)
		estimate.Loads += loads
		estimate.MinMs = max(estimate.MinMs, minMs)
		loads, minMs = v.minLoadTime(backend, inDemand(bases, lost))
		estimate.InDemandLoads += loads
		estimate.InDemandMinMs = max(estimate.InDemandMinMs, minMs)
	}
	return estimate
}

// backends returns the backends of the lost models.
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

// baseModels returns the models of a backend without the adapters, which are not loaded from the store.
func baseModels(lost []LostModel, backend string) []LostModel {
	var bases []LostModel
	for _, model := range lost {
		if model.Backend == backend && !strings.Contains(model.Model, "/") {
			bases = append(bases, model)
		}
	}
	return bases
}

// inDemand returns the models that are requested, directly or through one of their adapters.
func inDemand(bases, lost []LostModel) []LostModel {
	var demanded []LostModel
	for _, base := range bases {
		if base.RatePerS != 0 || adapterInDemand(base, lost) {
			demanded = append(demanded, base)
		}
	}
	return demanded
}

// adapterInDemand reports whether any lost adapter of the model is requested.
func adapterInDemand(base LostModel, lost []LostModel) bool {
	for _, model := range lost {
		if model.Backend == base.Backend && model.RatePerS > 0 && strings.HasPrefix(model.Model, base.Model+"/") {
			return true
		}
	}
	return false
}

// minLoadTime returns the number of loads and the minimum time for them in milliseconds, which is bounded by
// the longest load, by how many loads the remaining replicas can run in parallel, and by the store's rate.
// The time is 0 if no replica remains.
func (v FleetView) minLoadTime(backend string, models []LostModel) (loads int, minMs float64) {
	total, longest := 0.0, 0.0
	for _, model := range models {
		total += model.LoadMs
		longest = max(longest, model.LoadMs)
	}
	replicas := v.replicasRemaining(backend)
	if len(models) == 0 || replicas == 0 {
		return len(models), 0
	}
	minMs = max(longest, total/float64(replicas))
	if rate := v.loadsPerS(backend); rate > 0 {
		minMs = max(minMs, float64(len(models)-1)/rate*1000+longest)
	}
	return len(models), minMs
}

// replicasRemaining counts the replicas of a backend outside the scope that are not draining.
func (v FleetView) replicasRemaining(backend string) int {
	count := 0
	for _, replica := range v.Replicas {
		if replica.Backend == backend && !v.isLost(replica.Zone) && replica.State != discovery.StateDraining {
			count++
		}
	}
	return count
}

// loadsPerS returns the rate at which a backend's store allows loads, or 0 if it isn't known.
func (v FleetView) loadsPerS(backend string) float64 {
	found, _, known := v.Table.Backend(backend)
	if !known || found.Runtime == nil {
		return 0
	}
	return found.Runtime.LoadsPerS
}
