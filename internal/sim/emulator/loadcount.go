package emulator

const (
	// FigureMoving counts the requests that must move.
	FigureMoving = "requests that move"
	// FigureWithoutCopy counts the models and adapters whose every copy is lost.
	FigureWithoutCopy = "models and adapters without a copy"
	// FigureLostCachedTokens counts the lost tokens of cached prompts.
	FigureLostCachedTokens = "warm tokens lost"
	// FigureReloadTime is the time, in seconds, until every model that lost all copies is loaded again.
	FigureReloadTime = "seconds until the last copy is back"
	// FigureRecomputedTokens counts the prompt tokens whose prefill must be repeated.
	FigureRecomputedTokens = "prompt tokens read again"
)

// ForecastByLoadReports is the baseline Forecaster: it counts what is in the lost zones from the platform's
// list and the load reports alone.
func ForecastByLoadReports(before Snapshot) Forecast {
	lost, withoutCopy := lostReplicas(before)
	moving := 0
	for _, edge := range before.DataPlanes {
		moving += movingRequests(edge, lost)
	}
	return Forecast{FigureMoving: float64(moving), FigureWithoutCopy: float64(withoutCopy)}
}

// lostReplicas returns the listed replicas of the lost zones, and the number of models and adapters that only
// they have loaded.
func lostReplicas(before Snapshot) (lost map[string]bool, withoutCopy int) {
	lost = map[string]bool{}
	surviving, onLostReplicas := map[string]bool{}, map[string]bool{}
	for _, listed := range before.Listed {
		into := surviving
		if before.Lost[listed.Zone] {
			lost[listed.ID], into = true, onLostReplicas
		}
		for _, model := range listed.Models {
			into[model.Name] = true
			for _, adapter := range model.Adapters {
				into[model.Name+"/"+adapter] = true
			}
		}
	}
	for reference := range onLostReplicas {
		if !surviving[reference] {
			withoutCopy++
		}
	}
	return lost, withoutCopy
}

// movingRequests returns how many requests of a data plane must move if the replicas, or the data plane
// itself, are lost.
func movingRequests(edge DataPlaneState, lost map[string]bool) int {
	moving := 0
	for id, load := range edge.Load.Replicas {
		if lost[id] || edge.Lost {
			moving += load.Running
		}
	}
	if !edge.Lost {
		return moving
	}
	for _, model := range edge.Load.Models {
		moving += model.Waiting
	}
	return moving
}
