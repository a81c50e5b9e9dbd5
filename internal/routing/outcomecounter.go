package routing

import (
	"math"
	"time"

	"ferryspar/internal/peer"
)

const (
	// halfLife is the half-life of counted outcomes.
	halfLife = 2500 * time.Millisecond
	// healthyFailureRate is the least failure rate assumed for a healthy replica.
	healthyFailureRate = 0.02
	// failingFailureRate is the least failure rate assumed for a failing replica.
	failingFailureRate = 0.3
	// priorRequests is the weight, in requests, of healthyFailureRate in the failure rate of the peers.
	priorRequests = 5.0
	// minOwnRequests is the number of this data plane's requests above which their failure rate is considered
	// besides that of all data planes.
	minOwnRequests = 4.0
	// negligibleFailures is the number of failures at the start of a half-open state below which they count as none.
	negligibleFailures = 0.05
	// Outcomes below both minReportedServed and minReportedFailed are not reported.
	minReportedServed = 0.3
	minReportedFailed = 0.1
)

// outcomeCounter counts served and failed requests, both decaying with halfLife. Counts may be fractional,
// since outcomes have weights.
type outcomeCounter struct {
	peer.Outcomes
	decayedAt time.Time // time up to which the counts have decayed
	failedAt  time.Time // time of the last counted failure
}

// decay lets the counts decay up to now.
func (c *outcomeCounter) decay(now time.Time) {
	span := now.Sub(c.decayedAt)
	if span <= 0 {
		return
	}
	remaining := math.Exp2(-float64(span) / float64(halfLife))
	c.Served *= remaining
	c.Failed *= remaining
	c.decayedAt = now
}

// add counts outcomes; a negative failed takes failures back.
func (c *outcomeCounter) add(served, failed float64, now time.Time) {
	c.decay(now)
	c.Served += served
	c.Failed = max(c.Failed+failed, 0)
}

// reported returns the counts for a load report, rounded to one decimal.
func (c *outcomeCounter) reported(now time.Time) peer.Outcomes {
	c.decay(now)
	if c.Served < minReportedServed && c.Failed < minReportedFailed {
		return peer.Outcomes{}
	}
	return peer.Outcomes{
		Served: math.Round(c.Served*10) / 10,
		Failed: math.Round(c.Failed*10) / 10,
	}
}

func addOutcomes(first, second peer.Outcomes) peer.Outcomes {
	return peer.Outcomes{
		Served: first.Served + second.Served,
		Failed: first.Failed + second.Failed,
	}
}

// peerFailureRate returns the failure rate of all replicas but one, smoothed by a prior; own are the outcomes of that one.
func peerFailureRate(all, own peer.Outcomes) float64 {
	served := max(all.Served-own.Served, 0)
	failed := max(all.Failed-own.Failed, 0)
	return (failed + priorRequests*healthyFailureRate) / (served + failed + priorRequests)
}

const (
	// Upper limits of the assumed failure rates: at a rate of 1 the logarithm of the ratio would not be finite.
	maxHealthyFailureRate = 0.9
	maxFailingFailureRate = 0.95
	// failingFactor is the ratio of the assumed failure rate of a failing replica to that of its peers.
	failingFactor = 3
)

// logLikelihoodRatio returns the evidence that a replica fails more often than its peers, as in a sequential
// probability ratio test (Wald): with s the failure rate of a healthy replica (that of the peers) and g that of
// a failing one, the evidence is failed·ln(g/s) + served·ln((1−g)/(1−s)).
func logLikelihoodRatio(seen peer.Outcomes, peerRate float64) float64 {
	healthy := min(max(peerRate, healthyFailureRate), maxHealthyFailureRate)
	failing := max(failingFailureRate, min(failingFactor*healthy, maxFailingFailureRate))
	return seen.Failed*math.Log(failing/healthy) + seen.Served*math.Log((1-failing)/(1-healthy))
}
