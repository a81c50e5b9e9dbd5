package emulator

import (
	"strings"
	"time"

	"ferryspar/internal/placement"
)

// modelChange is a load or unload in progress at a server.
type modelChange struct {
	action placement.Action
	// awaitingIdle is set while an unload waits for the model's requests to end.
	awaitingIdle bool
	done         func(loaded bool)
}

// touches reports whether the given reference is the changed model or adapter, or an adapter of it.
func (c *modelChange) touches(model string) bool {
	return model == c.action.Model || strings.HasPrefix(model, c.action.Model+"/")
}

const (
	// adapterLoadTime is how long the load of an adapter takes.
	adapterLoadTime = 30 * time.Millisecond
	// unloadDuration is how long an unload takes once the model is idle.
	unloadDuration = 100 * time.Millisecond
	// diskLoadRatio is the duration of a load from the machine's own disk relative to one from the store.
	diskLoadRatio = 0.2
)

// startChange starts a load or unload, or returns false if another is in progress. done is called once it
// has taken effect.
func (s *server) startChange(action placement.Action, done func(loaded bool)) bool {
	if s.change != nil {
		return false
	}
	s.change = &modelChange{action: action, done: done}
	if !action.Load {
		s.change.awaitingIdle = true
		s.unloadIfIdle()
		return true
	}
	s.world.checkCapacity(s, action.Model)
	duration := adapterLoadTime
	if !strings.Contains(action.Model, "/") {
		duration = s.loadTime(action.Model)
	}
	s.world.events.After(duration, func() {
		if !s.dead {
			s.loaded[action.Model] = true
			s.machine.onDisk[action.Model] = true
			s.finishChange()
		}
	})
	return true
}

// loadTime returns how long the load of a model takes: longer on a busy replica and when the store serves
// more concurrent loads than it can at full speed, shorter from the machine's own disk.
func (s *server) loadTime(model string) time.Duration {
	models := s.world.scenario.Models
	busy := 1 + 0.5*float64(len(s.running))/float64(s.world.scenario.Replica.Slots)
	duration := models.LoadTimeS * busy
	if s.machine.onDisk[model] {
		s.world.observer.loaded(false)
		return seconds(duration * diskLoadRatio)
	}
	s.world.observer.loaded(true)
	store := &s.world.storeLoads
	*store++
	contention := max(float64(*store)/float64(models.ConcurrentLoads), 1)
	total := seconds(duration * contention)
	s.world.events.After(total, func() { *store-- })
	return total
}

// unloadIfIdle starts a waiting unload if no request uses the model.
func (s *server) unloadIfIdle() {
	if s.change == nil || !s.change.awaitingIdle || s.isInUse(s.change.action.Model) {
		return
	}
	s.change.awaitingIdle = false
	s.world.events.After(unloadDuration, func() {
		if s.dead {
			return
		}
		s.loaded.Remove(s.change.action.Model)
		s.cache.evictModels(s.change.touches)
		s.finishChange()
	})
}

// finishChange ends the change and updates the platform's list after its lag.
func (s *server) finishChange() {
	done := s.change.done
	s.change = nil
	s.world.listLater(s)
	done(true)
}
