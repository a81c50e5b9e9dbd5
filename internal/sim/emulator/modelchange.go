package emulator

import (
	"strings"
	"time"

	"ferryspar/internal/placement"
)

// modelChange is a load or unload under way at a server.
type modelChange struct {
	action placement.Action
	// awaitingIdle is set while an unload waits for requests to end.
	awaitingIdle bool
	done         func(loaded bool)
}

// touches reports whether the change concerns the model or an adapter of it.
func (c *modelChange) touches(model string) bool {
	return model == c.action.Model || strings.HasPrefix(model, c.action.Model+"/")
}

const (
	// adapterLoadTime is how long an adapter's load takes.
	adapterLoadTime = 30 * time.Millisecond
	// unloadDuration is how long an unload takes once the model is idle.
	unloadDuration = 100 * time.Millisecond
	// diskLoadRatio is the share of a load's time that a load from the machine's own disk takes.
	diskLoadRatio = 0.2
)

// startChange begins a load or unload and reports false if another is under way. done is called
// once it has taken effect.
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
	taking := adapterLoadTime
	if !strings.Contains(action.Model, "/") {
		taking = s.loadTime(action.Model)
	}
	s.world.events.After(taking, func() {
		if !s.dead {
			s.loaded[action.Model] = true
			s.machine.onDisk[action.Model] = true
			s.finishChange()
		}
	})
	return true
}

// loadTime is how long a model's load takes: longer on a busy replica and when the store is
// crowded, shorter from the machine's own disk.
func (s *server) loadTime(model string) time.Duration {
	models := s.world.scenario.Models
	busy := 1 + 0.5*float64(len(s.running))/float64(s.world.scenario.Replica.Slots)
	taking := models.LoadTimeS * busy
	if s.machine.onDisk[model] {
		s.world.observer.loaded(false)
		return seconds(taking * diskLoadRatio)
	}
	s.world.observer.loaded(true)
	store := &s.world.storeLoads
	*store++
	crowd := max(float64(*store)/float64(models.ConcurrentLoads), 1)
	whole := seconds(taking * crowd)
	s.world.events.After(whole, func() { *store-- })
	return whole
}

// unloadIfIdle begins the waiting unload once no request uses the model.
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

// finishChange ends the change and has the list follow.
func (s *server) finishChange() {
	done := s.change.done
	s.change = nil
	s.world.listLater(s)
	done(true)
}
