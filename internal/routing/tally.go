package routing

import (
	"math"
	"time"

	"ferryspar/internal/peer"
)

const (
	// halfLife is the time in which a record fades by half.
	halfLife = 2500 * time.Millisecond
	// healthyFailureRate is the least share of failures that a sound replica is held to have.
	healthyFailureRate = 0.02
	// failingFailureRate is the least share that a failing one is held to have.
	failingFailureRate = 0.3
	// priorRequests is the weight, in requests, of healthyFailureRate in the share of the others.
	priorRequests = 5.0
	// minOwnRequests is the count of own requests from which the own share counts beside the fleet's.
	minOwnRequests = 4.0
	// negligible failures at the start of a trial count as none.
	negligible = 0.05
	// minReportedServed and minReportedFailed: a record below both is not reported.
	minReportedServed = 0.3
	minReportedFailed = 0.1
)

// outcomeCounter counts served and failed requests, both fading with halfLife. Counts are fractions
// since outcomes have weights.
type outcomeCounter struct {
	peer.Outcomes
	at       time.Time // to which the counts are faded
	failedAt time.Time // of the last failure that counted
}

// advance fades the counts to now.
func (t *outcomeCounter) decay(now time.Time) {
	span := now.Sub(t.at)
	if span <= 0 {
		return
	}
	left := math.Exp2(-float64(span) / float64(halfLife))
	t.Served *= left
	t.Failed *= left
	t.at = now
}

// add counts outcomes; a negative failed takes one back.
func (t *outcomeCounter) add(served, failed float64, now time.Time) {
	t.decay(now)
	t.Served += served
	t.Failed = max(t.Failed+failed, 0)
}

// reported are the counts for a load report, to one decimal.
func (t *outcomeCounter) reported(now time.Time) peer.Outcomes {
	t.decay(now)
	if t.Served < minReportedServed && t.Failed < minReportedFailed {
		return peer.Outcomes{}
	}
	return peer.Outcomes{
		Served: math.Round(t.Served*10) / 10,
		Failed: math.Round(t.Failed*10) / 10,
	}
}

func addOutcomes(first, second peer.Outcomes) peer.Outcomes {
	return peer.Outcomes{
		Served: first.Served + second.Served,
		Failed: first.Failed + second.Failed,
	}
}

// peerFailureRate is the share of failures among all outcomes but a replica's own.
func peerFailureRate(all, own peer.Outcomes) float64 {
	served := max(all.Served-own.Served, 0)
	failed := max(all.Failed-own.Failed, 0)
	return (failed + priorRequests*healthyFailureRate) / (served + failed + priorRequests)
}

const (
	maxHealthyFailureRate = 0.9
	maxFailingFailureRate = 0.95
	failingFactor         = 3
)

// logLikelihoodRatio is the evidence that a replica fails more than its peers, as in a sequential
// probability ratio test (Wald): s is the share of failures of a sound replica (that of the peers),
// g that of a failing one, and the evidence failed·ln(g/s) + served·ln((1−g)/(1−s)).
func logLikelihoodRatio(seen peer.Outcomes, peers float64) float64 {
	sound := min(max(peers, healthyFailureRate), maxHealthyFailureRate)
	failing := max(failingFailureRate, min(failingFactor*sound, maxFailingFailureRate))
	return seen.Failed*math.Log(failing/sound) + seen.Served*math.Log((1-failing)/(1-sound))
}
