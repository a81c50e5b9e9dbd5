package routing

import (
	"math"
	"time"

	"ferryspar/internal/peer"
)

const (
	// halfLife is the time in which counted outcomes decay by half.
	halfLife = 2500 * time.Millisecond
	// healthyFailureRate is the least failure rate that a healthy replica is assumed to have.
	healthyFailureRate = 0.02
	// failingFailureRate is the least failure rate that a failing one is assumed to have.
	failingFailureRate = 0.3
	// priorRequests is the weight, in requests, of healthyFailureRate in the failure rate of the others.
	priorRequests = 5.0
	// minOwnRequests is the count of own requests from which the own rate counts beside the fleet's.
	minOwnRequests = 4.0
	// negligible failures at the start of a trial count as none.
	negligible = 0.05
	// Outcomes below both minReportedServed and minReportedFailed are not reported.
	minReportedServed = 0.3
	minReportedFailed = 0.1
)

// outcomeCounter counts served and failed requests, both decaying with halfLife. Counts are fractions since
// outcomes have weights.
type outcomeCounter struct {
	peer.Outcomes
	at       time.Time // up to which the counts have decayed
	failedAt time.Time // of the last failure that counted
}

// decay lets the counts decay up to now.
func (c *outcomeCounter) decay(now time.Time) {
	span := now.Sub(c.at)
	if span <= 0 {
		return
	}
	remaining := math.Exp2(-float64(span) / float64(halfLife))
	c.Served *= remaining
	c.Failed *= remaining
	c.at = now
}

// add counts outcomes; a negative failed takes failures back.
func (c *outcomeCounter) add(served, failed float64, now time.Time) {
	c.decay(now)
	c.Served += served
	c.Failed = max(c.Failed+failed, 0)
}

// reported returns the counts for a load report, to one decimal.
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

// peerFailureRate is the share of failures among all outcomes except a replica's own.
func peerFailureRate(all, own peer.Outcomes) float64 {
	served := max(all.Served-own.Served, 0)
	failed := max(all.Failed-own.Failed, 0)
	return (failed + priorRequests*healthyFailureRate) / (served + failed + priorRequests)
}

const (
	// Upper limits of the assumed failure rates: at a rate of 1 the ratio would have no finite logarithm.
	maxHealthyFailureRate = 0.9
	maxFailingFailureRate = 0.95
	// failingFactor times the failure rate of the peers is that of a failing replica.
	failingFactor = 3
)

// logLikelihoodRatio is the evidence that a replica fails more than its peers, as in a sequential
// probability ratio test (Wald): s is the failure rate of a healthy replica (that of the peers), g that
// of a failing one, and the evidence is failed·ln(g/s) + served·ln((1−g)/(1−s)).
func logLikelihoodRatio(seen peer.Outcomes, peerRate float64) float64 {
	healthy := min(max(peerRate, healthyFailureRate), maxHealthyFailureRate)
	failing := max(failingFailureRate, min(failingFactor*healthy, maxFailingFailureRate))
	return seen.Failed*math.Log(failing/healthy) + seen.Served*math.Log((1-failing)/(1-healthy))
}
