package placement

import "time"

const (
	simulatedUnload      = 600 * time.Millisecond
	simulatedAdapterLoad = 300 * time.Millisecond
	// simulatedDiskTime is the duration of a load from disk relative to one from the store.
	simulatedDiskTime = 0.2
	// simulatedCallTime is the overhead of each load, in seconds.
	simulatedCallTime = 0.3
)

// runPlanner completes the actions that are due, and starts those of the next plan.
func (s *simulation) runPlanner() {
	now := s.view.Now
	clear(s.view.Loading)
	concurrentStoreLoads := 0 // loads from the store in progress
	for _, server := range s.servers {
		if server.action != nil && !now.Before(server.endsAt) {
			server.finish()
		}
		server.server.Ready = server.action == nil
		if server.action != nil && server.action.Load {
			s.view.Loading[ModelKey("s", server.action.Model)]++
			if server.action.FromStore {
				concurrentStoreLoads++
			}
		}
	}
	recent := s.storeLoadTimes[:0]
	for _, at := range s.storeLoadTimes {
		if now.Sub(at) < 6*time.Second {
			recent = append(recent, at)
		}
	}
	s.storeLoadTimes = recent
	s.view.StoreTokens = s.loadsPerS*5 + 1 - float64(len(recent))
	for _, action := range Plan(s.view) {
		for _, server := range s.servers {
			if server.server.ID == action.Server {
				server.action = &action
				server.endsAt = now.Add(s.duration(action, concurrentStoreLoads))
			}
		}
	}
}

// finish completes the action.
func (s *simulatedServer) finish() {
	model := s.action.Model
	if s.action.Load {
		s.server.Loaded[model] = true
		s.server.OnDisk[model] = true
	}
	for reference := range s.server.Loaded {
		base, _ := SplitReference(reference)
		if !s.action.Load && (reference == model || base == model) {
			delete(s.server.Loaded, reference)
		}
	}
	s.action = nil
}

// duration returns the duration of an action and counts a model load in the outcome. Loads from the store slow each other
// down.
func (s *simulation) duration(action Action, concurrentStoreLoads int) time.Duration {
	if !action.Load {
		return simulatedUnload
	}
	if _, adapter := SplitReference(action.Model); adapter != "" {
		return simulatedAdapterLoad
	}
	runtime := s.view.Table.Configuration.Backends[0].Runtime
	seconds := runtime.Models[s.modelNumber(action.Model)].LoadTimeS
	s.outcome.loads++
	if action.FromStore {
		s.outcome.storeLoads++
		s.storeLoadTimes = append(s.storeLoadTimes, s.view.Now)
		seconds *= max(1, float64(concurrentStoreLoads)/(4*s.loadsPerS))
	} else {
		s.outcome.diskLoads++
		seconds *= simulatedDiskTime
	}
	return time.Duration((seconds + simulatedCallTime) * float64(time.Second))
}
