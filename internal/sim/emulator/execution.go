package emulator

import (
	"slices"
	"strings"
	"time"
)

// execution is a request at a replica, queued or running.
type execution struct {
	attempt       *attempt
	forwardNumber int
	model         string
	dialogues     []uint64
	// cachedParts counts the leading parts of the prompt that were cached.
	cachedParts    int
	unreadTokens   float64
	reservedTokens float64
	nextEvent      int
	priority       int
	queuedAt       time.Time
	// promptRead is set once the whole prompt is read.
	promptRead bool
	pinned     bool
	ended      bool
	server     *server
}

// admit moves queued executions into free slots as long as memory can be reserved for the first of
// them.
func (s *server) admit() {
	for len(s.queue) > 0 && len(s.running) < s.world.scenario.Replica.Slots {
		one := s.queue[0]
		request := one.attempt.call.request
		one.cachedParts = s.cache.cachedParts(one.model, one.dialogues)
		s.cache.pin(one.model, one.dialogues[:one.cachedParts], 1)
		one.unreadTokens = request.Prompt + float64(one.nextEvent-1) - totalTokens(request.Parts[:one.cachedParts])
		needed := one.unreadTokens + float64(request.Output-one.nextEvent+1)
		if !s.cache.reserve(needed) {
			s.cache.pin(one.model, one.dialogues[:one.cachedParts], -1)
			return
		}
		one.reservedTokens, one.pinned = needed, true
		s.queue = s.queue[1:]
		s.running = append(s.running, one)
		s.world.observer.promptAdmitted(one.unreadTokens, request.Prompt)
	}
}

// emitEvent sends the execution's next event to its edge.
func (s *server) emitEvent(one *execution) {
	request := one.attempt.call.request
	id := one.nextEvent
	last := one.nextEvent >= request.Output
	one.nextEvent++
	one.attempt.deliverLater(one.forwardNumber, s, id, last)
	if last {
		s.release(one)
	}
}

// release ends an execution and frees its slot and memory.
func (s *server) release(one *execution) {
	if one.ended {
		return
	}
	one.ended = true
	keep := func(other *execution) bool { return other != one }
	s.queue = filter(s.queue, keep)
	s.running = filter(s.running, keep)
	if one.pinned {
		pinned := one.dialogues[:one.cachedParts]
		if one.promptRead {
			pinned = one.dialogues
		}
		s.cache.pin(one.model, pinned, -1)
		s.cache.release(one.reservedTokens)
	}
	s.unloadIfIdle()
	s.startStep()
}

// abandon ends the execution because its edge has hung up.
func (r *execution) abandon() {
	if r.server == nil || r.server.dead {
		r.ended = true
		return
	}
	r.server.release(r)
}

// filter is the items that are to be kept, in a new slice.
func filter[T any](items []T, keep func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(items), func(one T) bool { return !keep(one) })
}

// isInUse tells whether a request uses the model or an adapter of it.
func (s *server) isInUse(reference string) bool {
	for _, one := range append(slices.Clone(s.queue), s.running...) {
		if one.model == reference || strings.HasPrefix(one.model, reference+"/") {
			return true
		}
	}
	return false
}
