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

// unfetchedKV counts the KV caches at a prefill replica that decode replicas have not fetched yet for this data plane. Their
// memory is not available to other requests.
type unfetchedKV struct {
	releasable float64 // tokens of KV caches with known handles, which will be fetched or released
	orphaned   []orphanedKV
}

// add counts the KV cache of a completed prefill.
func (u *unfetchedKV) add(tokens float64) { u.releasable += tokens }

// release removes a KV cache that was fetched or released.
func (u *unfetchedKV) release(tokens float64) { u.releasable = max(u.releasable-tokens, 0) }

// orphan counts a KV cache whose handle was lost and which therefore stays allocated until it expires.
func (u *unfetchedKV) orphan(tokens float64, until time.Time) {
	u.orphaned = append(u.orphaned, orphanedKV{expiresAt: until, tokens: tokens})
}

// tokens returns the size of all KV caches that are counted now, in tokens, and drops those that have expired.
func (u *unfetchedKV) tokens(now time.Time) float64 {
	u.orphaned = slices.DeleteFunc(u.orphaned, func(memory orphanedKV) bool { return !now.Before(memory.expiresAt) })
	total := u.releasable
	for _, memory := range u.orphaned {
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
