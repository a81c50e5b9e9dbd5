package emulator

import (
	"slices"
	"strings"
	"time"
)

// execution is a request queued or running at a replica.
type execution struct {
	attempt       *attempt
	forwardNumber int
	model         string
	prefixHashes  []uint64
	// cachedParts is the number of leading parts of the prompt that were in the KV cache.
	cachedParts      int
	remainingPrefill float64
	reservedTokens   float64
	nextEvent        int
	priority         int
	queuedAt         time.Time
	// promptCompleted is set once the prefill of the whole prompt is complete.
	promptCompleted bool
	pinned          bool
	ended           bool
	server          *server
	// prefill is set if the replica only performs the prefill.
	prefill bool
	// source is the KV cache held at a prefill replica to continue from, or nil. fetched is set once it has
	// been transferred.
	source  *heldPrompt
	fetched bool
}

// admit moves queued executions into free slots in order, until KV cache space cannot be reserved for the
// next one.
func (s *server) admit() {
	for len(s.queue) > 0 && len(s.running) < s.world.scenario.Replica.Slots {
		run := s.queue[0]
		request := run.attempt.call.request
		run.cachedParts = s.cache.cachedParts(run.model, run.prefixHashes)
		s.cache.pin(run.model, run.prefixHashes[:run.cachedParts], 1)
		uncached := request.Prompt + float64(run.nextEvent-1) - totalTokens(request.Parts[:run.cachedParts])
		needed := uncached
		if !run.prefill {
			needed += float64(request.Output - run.nextEvent + 1)
		}
		run.remainingPrefill = uncached
		if run.fetched {
			run.remainingPrefill = 0
		}
		if !s.cache.reserve(needed) {
			s.cache.pin(run.model, run.prefixHashes[:run.cachedParts], -1)
			return
		}
		run.reservedTokens, run.pinned = needed, true
		s.queue = s.queue[1:]
		s.running = append(s.running, run)
		if !run.fetched {
			s.world.observer.promptAdmitted(run.remainingPrefill, request.Prompt)
		}
	}
}

// emitEvent sends the execution's next event to its edge and releases the execution after the last.
func (s *server) emitEvent(run *execution) {
	request := run.attempt.call.request
	id := run.nextEvent
	last := run.nextEvent >= request.Output
	run.nextEvent++
	run.attempt.sendEventToEdge(run.forwardNumber, s, id, last)
	if last {
		s.release(run)
	}
}

// release ends an execution and frees its slot and KV cache space.
func (s *server) release(run *execution) {
	if run.ended {
		return
	}
	run.ended = true
	keep := func(other *execution) bool { return other != run }
	s.queue = filter(s.queue, keep)
	s.running = filter(s.running, keep)
	if run.pinned {
		pinned := run.prefixHashes[:run.cachedParts]
		if run.promptCompleted {
			pinned = run.prefixHashes
		}
		s.cache.pin(run.model, pinned, -1)
		s.cache.release(run.reservedTokens)
	}
	s.unloadIfIdle()
	s.startStep()
}

// abandon ends the execution because its edge has closed the connection.
func (r *execution) abandon() {
	if r.server == nil || r.server.dead {
		r.ended = true
		return
	}
	r.server.release(r)
}

// filter returns a new slice with the items for which keep returns true.
func filter[T any](items []T, keep func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(items), func(item T) bool { return !keep(item) })
}

// isInUse reports whether a queued or running request uses the model or one of its adapters.
func (s *server) isInUse(reference string) bool {
	for _, run := range append(slices.Clone(s.queue), s.running...) {
		if run.model == reference || strings.HasPrefix(run.model, reference+"/") {
			return true
		}
	}
	return false
}
