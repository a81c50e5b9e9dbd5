package replica

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxIdleTime is for how long an idle connection is used again at most, and minIdleTime the least that is learned.
	maxIdleTime = 3 * time.Second
	minIdleTime = 150 * time.Millisecond
	// nonIdempotentIdleTime is for how long one is used again for a request that can't be retried.
	nonIdempotentIdleTime = 2 * time.Second
	// deathIdleShare is the share of the idle time of a connection that was found dead that is used from then on.
	deathIdleShare = 0.7
	// relearnInterval is how long after a death the idle time used is doubled again.
	relearnInterval = 20 * time.Second
	// keepAliveShare is the share of the idle time that replicas advertise that is used.
	keepAliveShare = 0.75
)

// idleEstimate is what the replicas of a backend taught about how long they keep idle connections.
type idleEstimate struct {
	// maxIdle was learned at learnedAt from a connection that was found dead.
	maxIdle   time.Duration
	learnedAt time.Time
	// advertised is from the last Keep-Alive header, 0 without one.
	advertised time.Duration
}

// idleEstimates hold an idleEstimate for each backend.
type idleEstimates struct {
	clock func() time.Time

	// lock guards byBackend.
	lock      sync.Mutex
	byBackend map[string]*idleEstimate
}

// at is the estimate of a backend. The caller holds the lock.
func (e *idleEstimates) at(backend string) *idleEstimate {
	estimate := e.byBackend[backend]
	if estimate == nil {
		estimate = &idleEstimate{maxIdle: maxIdleTime}
		e.byBackend[backend] = estimate
	}
	return estimate
}

// maxIdle is for how long a connection to a replica of the backend may have been idle to be used again.
func (e *idleEstimates) maxIdle(backend string, nonIdempotent bool) time.Duration {
	e.lock.Lock()
	defer e.lock.Unlock()
	estimate, now := e.at(backend), e.clock()
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

// recordDeath learns from a connection that was found dead after an idle time.
func (e *idleEstimates) recordDeath(backend string, idleFor time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	estimate := e.at(backend)
	estimate.maxIdle = max(min(estimate.maxIdle, time.Duration(deathIdleShare*float64(idleFor))), minIdleTime)
	estimate.learnedAt = e.clock()
}

// recordResponse learns from the Keep-Alive header of a response, if it has one with a timeout.
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
	e.at(backend).advertised = time.Duration(keepAliveShare * float64(timeout))
}
