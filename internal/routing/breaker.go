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
	breakerProbing                        // idempotent requests, one at a time over the whole fleet
	breakerRecovering                     // any requests, one at a time
)

const (
	// openThreshold is the log likelihood ratio above which a breaker opens.
	openThreshold = 3.0
	// minOpenTime is doubled with every relapse up to maxOpenTime, and applies again after stableTime in
	// service.
	minOpenTime = 1500 * time.Millisecond
	maxOpenTime = 6 * time.Second
	stableTime  = 10 * time.Second
	// probeTime is the longest time of probing, recoveryTime that of recovering.
	probeTime    = 3 * time.Second
	recoveryTime = 1500 * time.Millisecond
	// relapseFailures more failures than at the start of a trial are a relapse; as many in all give a
	// replica a breaker. probeServed and recoveryServed requests end a trial early.
	relapseFailures = 0.8
	probeServed     = 0.8
	recoveryServed  = 2.0
)

// breaker is the circuit breaker of one replica.
type breaker struct {
	state        breakerState
	since        time.Time     // of the state
	openDuration time.Duration // how long it was open last; 0 before the first time
	evidence     float64       // of the last review
	// baseline is the record at the start of the trial, decayed since as the record itself.
	baseline outcomeCounter
}

// inherit returns the breaker of a new incarnation at the address of an old one, or of none: closed, but
// with the open duration of the old one.
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

// open ejects the replica, for longer than the last time unless it was in service for stableTime.
func (b *breaker) open(now time.Time) {
	if b.openDuration == 0 || b.state == breakerClosed && now.Sub(b.since) > stableTime {
		b.openDuration = minOpenTime
	} else {
		b.openDuration = min(2*b.openDuration, maxOpenTime)
	}
	b.setState(breakerOpen, now)
}

// startTrial begins probing or recovering.
func (b *breaker) startTrial(next breakerState, seen peer.Outcomes, now time.Time) {
	b.baseline = outcomeCounter{Outcomes: seen, at: now}
	b.setState(next, now)
}

// review updates the breaker by what all data planes have seen and by the evidence against the replica.
func (b *breaker) review(seen peer.Outcomes, evidence float64, now time.Time) {
	b.evidence = evidence
	b.baseline.decay(now)
	if b.baseline.Failed < negligible {
		b.baseline.Failed = 0
	}
	failed := seen.Failed - b.baseline.Failed
	served := seen.Served - b.baseline.Served
	hasRelapsed := failed > relapseFailures
	elapsed := now.Sub(b.since)
	switch b.state {
	case breakerClosed:
		// Failures from before the trial that closed it do not open it again.
		hasNewFailures := b.baseline.Failed == 0 || hasRelapsed
		if b.evidence > openThreshold && hasNewFailures {
			b.open(now)
		}
	case breakerOpen:
		if elapsed >= b.openDuration {
			b.startTrial(breakerProbing, seen, now)
		}
	case breakerProbing:
		if hasRelapsed {
			b.open(now)
		} else if served > probeServed || elapsed >= min(b.openDuration, probeTime) {
			b.startTrial(breakerRecovering, seen, now)
		}
	case breakerRecovering:
		if hasRelapsed {
			b.open(now)
		} else if served > recoveryServed || elapsed >= recoveryTime {
			b.setState(breakerClosed, now)
		}
	}
}
