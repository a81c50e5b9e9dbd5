package routing

import (
	"math"
	"slices"
	"time"
)

// orphanedKV is a KV cache whose handle was lost, so that it stays allocated until the replica expires it.
type orphanedKV struct {
	expiresAt time.Time
	tokens    float64
}

// heldKV counts the KV caches that a prefill replica holds for this data plane until decode replicas fetch them: their memory
// is not available to other requests.
type heldKV struct {
	releasable float64 // tokens under known handles, which will be fetched or released
	orphaned   []orphanedKV
}

// add counts the KV cache of a completed prefill.
func (h *heldKV) add(tokens float64) { h.releasable += tokens }

// release counts a KV cache as fetched or released.
func (h *heldKV) release(tokens float64) { h.releasable = max(h.releasable-tokens, 0) }

// orphan counts a KV cache whose handle was lost, and which stays allocated until it expires.
func (h *heldKV) orphan(tokens float64, until time.Time) {
	h.orphaned = append(h.orphaned, orphanedKV{expiresAt: until, tokens: tokens})
}

// tokens returns the size of all KV caches that are held now, in tokens.
func (h *heldKV) tokens(now time.Time) float64 {
	h.orphaned = slices.DeleteFunc(h.orphaned, func(memory orphanedKV) bool { return !now.Before(memory.expiresAt) })
	total := h.releasable
	for _, memory := range h.orphaned {
		total += memory.tokens
	}
	return total
}

// smoothingTime is the time constant of smoothedLoad.
const smoothingTime = time.Second

// smoothedLoad is an exponential moving average of a load that other data planes report. A prefill takes a fraction of the time
// between two reports, so the last report alone says little about the current load.
type smoothedLoad struct {
	value float64
	at    time.Time
}

// update adds a reported value, unless one of that time or later was added before, and returns the average.
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
