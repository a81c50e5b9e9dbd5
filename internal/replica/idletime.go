package replica

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxIdleTime and minIdleTime bound the estimated time for which an idle connection may be reused.
	maxIdleTime = 3 * time.Second
	minIdleTime = 150 * time.Millisecond
	// nonIdempotentIdleTime is the limit for requests that cannot be retried.
	nonIdempotentIdleTime = 2 * time.Second
	// deadIdleFactor: after a reused connection turns out dead, the limit is this fraction of the time it had been idle.
	deadIdleFactor = 0.7
	// relearnInterval is how long after a dead connection, and after each doubling, the limit is doubled again.
	relearnInterval = 20 * time.Second
	// keepAliveFactor is the fraction used of the timeout that replicas advertise in Keep-Alive headers.
	keepAliveFactor = 0.75
)

// idleEstimate is the estimate of how long the replicas of a backend keep idle connections open.
type idleEstimate struct {
	// maxIdle is the limit derived from dead connections, last changed at learnedAt.
	maxIdle   time.Duration
	learnedAt time.Time
	// advertised is the limit derived from the last Keep-Alive header, or 0.
	advertised time.Duration
}

// idleEstimates holds an idleEstimate per backend.
type idleEstimates struct {
	clock func() time.Time

	// lock guards byBackend.
	lock      sync.Mutex
	byBackend map[string]*idleEstimate
}

// estimateFor returns the estimate of a backend, creating it if needed. The caller holds the lock.
func (e *idleEstimates) estimateFor(backend string) *idleEstimate {
	estimate := e.byBackend[backend]
	if estimate == nil {
		estimate = &idleEstimate{maxIdle: maxIdleTime}
		e.byBackend[backend] = estimate
	}
	return estimate
}

// maxIdle returns the maximum time that a connection to a replica of the backend may have been idle and still be reused.
func (e *idleEstimates) maxIdle(backend string, nonIdempotent bool) time.Duration {
	e.lock.Lock()
	defer e.lock.Unlock()
	estimate, now := e.estimateFor(backend), e.clock()
	if estimate.maxIdle < maxIdleTime && now.Sub(estimate.learnedAt) > relearnInterval {
		estimate.maxIdle, estimate.learnedAt = min(2*estimate.maxIdle, maxIdleTime), now
	}
	maxIdle := estimate.maxIdle
	if estimate.advertised > 0 {
		maxIdle = min(maxIdle, estimate.advertised)
	}
	if nonIdempotent {
		return min(nonIdempotentIdleTime, maxIdle)
	}
	return maxIdle
}

// recordDeadConnection lowers the limit after a reused connection turned out dead, having been idle for idleFor.
func (e *idleEstimates) recordDeadConnection(backend string, idleFor time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	estimate := e.estimateFor(backend)
	estimate.maxIdle = max(min(estimate.maxIdle, time.Duration(deadIdleFactor*float64(idleFor))), minIdleTime)
	estimate.learnedAt = e.clock()
}

// recordResponse adopts the timeout in the Keep-Alive header of a response, if there is one.
func (e *idleEstimates) recordResponse(backend string, response *http.Response) {
	for _, parameter := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil && seconds > 0 {
			e.recordAdvertised(backend, time.Duration(seconds)*time.Second)
		}
	}
}

func (e *idleEstimates) recordAdvertised(backend string, timeout time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.estimateFor(backend).advertised = time.Duration(keepAliveFactor * float64(timeout))
}
