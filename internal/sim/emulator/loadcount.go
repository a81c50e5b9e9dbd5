package emulator

const (
	// FigureMoving counts the requests that must move.
	FigureMoving = "requests that move"
	// FigureWithoutCopy counts the models and adapters whose every copy is lost.
	FigureWithoutCopy = "models and adapters without a copy"
	// FigureWarm counts the cached tokens lost.
	FigureWarm = "warm tokens lost"
	// FigureBack is how long, in seconds, until the last model lost is loaded again.
	FigureBack = "seconds until the last copy is back"
	// FigureReadAgain counts the prompt tokens that must be read again.
	FigureReadAgain = "prompt tokens read again"
)

// CountByLoad is the simplest forecaster: it counts from the list and the load reports alone what
// is in the lost zones.
func CountByLoad(before Snapshot) Forecast {
	lost := map[string]bool{}
	kept, gone := map[string]bool{}, map[string]bool{}
	for _, listed := range before.Listed {
		into := kept
		if before.Lost[listed.Zone] {
			lost[listed.ID], into = true, gone
		}
		for _, held := range listed.Models {
			into[held.Name] = true
			for _, adapter := range held.Adapters {
				into[held.Name+"/"+adapter] = true
			}
		}
	}
	moving, alone := 0, 0
	for _, one := range before.Edges {
		for id, load := range one.Load.Replicas {
			if lost[id] || one.Lost {
				moving += load.Running
			}
		}
		if !one.Lost {
			continue
		}
		for _, model := range one.Load.Models {
			moving += model.Waiting
		}
	}
	for reference := range gone {
		if !kept[reference] {
			alone++
		}
	}
	return Forecast{FigureMoving: float64(moving), FigureWithoutCopy: float64(alone)}
}
