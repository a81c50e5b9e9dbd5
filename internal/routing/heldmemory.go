package routing

import (
	"math"
	"slices"
	"time"
)

// lapsingMemory is memory that is held under a handle which nobody knows, until it lapses.
type lapsingMemory struct {
	until  time.Time
	tokens float64
}

// heldMemory is the memory of prompts that a prefill replica read for this data plane and that no decode replica has
// fetched yet: no other request can use it meanwhile.
type heldMemory struct {
	known   float64 // tokens under handles that will be taken or freed
	lapsing []lapsingMemory
}

// add counts a prompt that was read.
func (h *heldMemory) add(tokens float64) { h.known += tokens }

// release counts a prompt that was fetched or freed.
func (h *heldMemory) release(tokens float64) { h.known = max(h.known-tokens, 0) }

// lapse counts a prompt whose handle was lost: its memory can't be freed before it lapses.
func (h *heldMemory) lapse(tokens float64, until time.Time) {
	h.lapsing = append(h.lapsing, lapsingMemory{until: until, tokens: tokens})
}

// tokens returns how much is held now.
func (h *heldMemory) tokens(now time.Time) float64 {
	h.lapsing = slices.DeleteFunc(h.lapsing, func(memory lapsingMemory) bool { return !now.Before(memory.until) })
	total := h.known
	for _, memory := range h.lapsing {
		total += memory.tokens
	}
	return total
}

// smoothingTime is the time constant of a smoothedLoad.
const smoothingTime = time.Second

// smoothedLoad averages a load that other data planes report. Prompts are read within a fraction of the time between two
// reports, so that the last report alone says little of what waits now.
type smoothedLoad struct {
	value float64
	at    time.Time
}

// update adopts what was reported at a moment, once, and returns the average.
func (s *smoothedLoad) update(reported float64, at time.Time) float64 {
	if at.After(s.at) {
		weight := 1.0
		if !s.at.IsZero() {
			weight = 1 - math.Exp(-float64(at.Sub(s.at))/float64(smoothingTime))
		}
		s.value += weight * (reported - s.value)
		s.at = at
	}
	return s.value
}
