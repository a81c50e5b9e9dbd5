package routing

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/peer"
)

const (
	// reviewInterval is the least time between two reviews.
	reviewInterval = 100 * time.Millisecond
	// stalledAfter is the time without a review from which this data plane itself counts as stalled; overdue first
	// events are then not counted as failures of replicas.
	stalledAfter = 1200 * time.Millisecond
)

// review counts first events that are overdue, and updates the breakers of all replicas.
func (m *Matcher) review(now time.Time) {
	sinceReview := now.Sub(m.health.reviewedAt)
	if sinceReview < reviewInterval {
		return
	}
	m.health.reviewedAt = now
	wasStalled := sinceReview > stalledAfter
	m.reviewOverdue(wasStalled, now)
	m.reviewRejections(wasStalled, now)
	m.health.review(m.snapshot, now)
}

// reviewOverdue counts a failure for each overdue first event at a replica that is not busy. If this data
// plane was stalled, it counts none.
func (m *Matcher) reviewOverdue(wasStalled bool, now time.Time) {
	for _, state := range m.replicas.states {
		for ticket := range state.awaitingFirst {
			if wasStalled {
				ticket.failureCounted = true
				continue
			}
			if ticket.isDisaggregated() {
				// A replica of a disaggregated backend may be slow under load, however few requests it runs.
				continue
			}
			isOverdue := !ticket.failureCounted && now.Sub(ticket.sentAt) > ticket.firstEventTimeout()
			if isOverdue && !m.isBusy(ticket.replica, highLoad) {
				ticket.overdueCounted = true
				m.recordFailure(ticket, 1, minFailureInterval, now)
			}
		}
	}
}

// review updates the breakers of all listed replicas.
func (h *health) review(snapshot *Snapshot, now time.Time) {
	h.totalOutcomes.decay(now)
	h.breakersNotClosed = 0
	clear(h.ejected)
	h.reviewZones(snapshot, now)
	for _, replica := range snapshot.Replicas {
		h.reviewReplica(snapshot, replica, now)
	}
}

// reviewReplica updates a replica's breaker. Replicas that never failed and whose zone was never suspected
// have no breaker.
func (h *health) reviewReplica(snapshot *Snapshot, replica *Replica, now time.Time) {
	own := peer.Outcomes{}
	if counter := h.outcomes[replica.ID]; counter != nil {
		counter.decay(now)
		own = counter.Outcomes
	}
	seen := addOutcomes(own, snapshot.recentPeerLoad(replica.ID, now).Outcomes)
	zoneSuspected := h.suspectsZoneOf(replica, now)
	replicaBreaker := h.breakers[replica.ID]
	if replicaBreaker == nil {
		if seen.Failed < relapseFailures && !zoneSuspected {
			return
		}
		replicaBreaker = h.breakerByAddress[replica.Address].inherit(now)
		h.breakers[replica.ID] = replicaBreaker
	}
	before := replicaBreaker.state
	replicaBreaker.review(seen, h.evidence(snapshot, replica.ID, seen, own, now), now)
	if zoneSuspected && replicaBreaker.state == breakerClosed {
		replicaBreaker.open(now)
	}
	h.breakerByAddress[replica.Address] = replicaBreaker
	if replicaBreaker.state != breakerClosed {
		h.breakersNotClosed++
	}
	if replicaBreaker.state == breakerOpen && before != breakerOpen {
		logrus.WithFields(logrus.Fields{
			"replica":          replica.ID,
			"evidence":         replicaBreaker.evidence,
			"served":           seen.Served,
			"failed":           seen.Failed,
			"zone_suspected":   zoneSuspected,
			"open_duration_ms": replicaBreaker.openDuration.Milliseconds(),
		}).Info("replica ejected")
	}
}

// evidence returns the evidence against a replica, relative to the failure rate of the other replicas: the
// greater of that from the outcomes at all data planes and that from the outcomes at the data planes of this
// zone. seen are the replica's outcomes at all data planes, own those at this one.
func (h *health) evidence(snapshot *Snapshot, id string, seen, own peer.Outcomes, now time.Time) float64 {
	total := h.totalOutcomes.Outcomes
	peerRate := peerFailureRate(addOutcomes(total, snapshot.recentPeerOutcomes(now)), seen)
	if total.Served+total.Failed > minOwnRequests {
		peerRate = max(peerRate, peerFailureRate(total, own))
	}
	zone := h.zoneOutcomes(snapshot, id, now)
	return max(logLikelihoodRatio(seen, peerRate), logLikelihoodRatio(zone, peerRate))
}
