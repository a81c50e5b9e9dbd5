package routing

import (
	"time"

	"ferryspar/internal/peer"
)

// breakerState is the state of a replica's circuit breaker (docs/design/health.md).
type breakerState int

const (
	breakerClosed     breakerState = iota // in service
	breakerOpen                           // ejected: no requests
	breakerProbing                        // half-open: idempotent requests, one at a time over all data planes
	breakerRecovering                     // half-open: any requests, one at a time
)

const (
	// openThreshold is the log likelihood ratio above which a breaker opens.
	openThreshold = 3.0
	// minOpenTime is the first open duration. It doubles with every relapse up to maxOpenTime, and is reset
	// after stableTime in service.
	minOpenTime = 1500 * time.Millisecond
	maxOpenTime = 6 * time.Second
	stableTime  = 10 * time.Second
	// probeTime is the longest time in breakerProbing, recoveryTime that in breakerRecovering.
	probeTime    = 3 * time.Second
	recoveryTime = 1500 * time.Millisecond
	// relapseFailures is the number of further failures in a half-open state that count as a relapse, and the number of
	// failures from which a replica has a breaker. probeServed and recoveryServed are the numbers of served requests
	// that end the half-open states early.
	relapseFailures = 0.8
	probeServed     = 0.8
	recoveryServed  = 2.0
)

// breaker is the circuit breaker of one replica.
type breaker struct {
	state        breakerState
	since        time.Time     // when the state was entered
	openDuration time.Duration // last open duration; 0 before the first time
	evidence     float64       // log likelihood ratio at the last review
	// baseline is the replica's record at the start of the half-open state, decayed at the same rate as the record itself.
	baseline outcomeCounter
}

// inherit returns the breaker of a new incarnation of a replica: closed, but with the open duration of the
// breaker of the previous incarnation at the same address, if there is one.
func (b *breaker) inherit(now time.Time) *breaker {
	if b == nil {
		return &breaker{}
	}
	next := &breaker{openDuration: b.openDuration, since: now}
	if b.state == breakerClosed {
		next.since = b.since
	}
	return next
}

func (b *breaker) setState(next breakerState, now time.Time) {
	b.state = next
	b.since = now
}

// open ejects the replica, for longer than the last time unless it has been in service for stableTime.
func (b *breaker) open(now time.Time) {
	if b.openDuration == 0 || b.state == breakerClosed && now.Sub(b.since) > stableTime {
		b.openDuration = minOpenTime
	} else {
		b.openDuration = min(2*b.openDuration, maxOpenTime)
	}
	b.setState(breakerOpen, now)
}

// startHalfOpen enters breakerProbing or breakerRecovering.
func (b *breaker) startHalfOpen(next breakerState, seen peer.Outcomes, now time.Time) {
	b.baseline = outcomeCounter{Outcomes: seen, decayedAt: now}
	b.setState(next, now)
}

// review updates the breaker with the outcomes at all data planes and the evidence against the replica.
func (b *breaker) review(seen peer.Outcomes, evidence float64, now time.Time) {
	b.evidence = evidence
	b.baseline.decay(now)
	if b.baseline.Failed < negligibleFailures {
		b.baseline.Failed = 0
	}
	failed := seen.Failed - b.baseline.Failed
	served := seen.Served - b.baseline.Served
	hasRelapsed := failed > relapseFailures
	elapsed := now.Sub(b.since)
	switch b.state {
	case breakerClosed:
		// Failures from before the half-open state that closed the breaker do not open it again.
		hasNewFailures := b.baseline.Failed == 0 || hasRelapsed
		if b.evidence > openThreshold && hasNewFailures {
			b.open(now)
		}
	case breakerOpen:
		if elapsed >= b.openDuration {
			b.startHalfOpen(breakerProbing, seen, now)
		}
	case breakerProbing:
		if hasRelapsed {
			b.open(now)
		} else if served > probeServed || elapsed >= min(b.openDuration, probeTime) {
			b.startHalfOpen(breakerRecovering, seen, now)
		}
	case breakerRecovering:
		if hasRelapsed {
			b.open(now)
		} else if served > recoveryServed || elapsed >= recoveryTime {
			b.setState(breakerClosed, now)
		}
	}
}
