package routing

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/peer"
)

const (
	// reviewInterval is the least time between two reviews.
	reviewInterval = 100 * time.Millisecond
	// stalledAfter without a review this data plane itself was stalled, and what is overdue then
	// is no replica's failure.
	stalledAfter = 1200 * time.Millisecond
)

// review counts first events that are overdue, and moves the breakers of all replicas.
func (m *Matcher) review(now time.Time) {
	since := now.Sub(m.health.reviewedAt)
	if since < reviewInterval {
		return
	}
	m.health.reviewedAt = now
	m.reviewOverdue(since > stalledAfter, now)
	m.health.totalOutcomes.decay(now)
	m.health.breakersNotClosed = 0
	clear(m.health.ejected)
	m.reviewZones(now)
	for _, replica := range m.snapshot.Replicas {
		m.reviewReplica(replica, now)
	}
}

// reviewOverdue counts a failure for each first event that is overdue at a replica that is not busy,
// or for none of them if this data plane was stalled.
func (m *Matcher) reviewOverdue(stalled bool, now time.Time) {
	for _, state := range m.states {
		for ticket := range state.awaitingFirst {
			if stalled {
				ticket.failureCounted = true
				continue
			}
			overdue := !ticket.failureCounted && now.Sub(ticket.sentAt) > ticket.firstEventTimeout()
			if overdue && !m.isBusy(ticket.replica, highLoad) {
				ticket.overdueCounted = true
				m.recordFailure(ticket, 1, now)
			}
		}
	}
}

// reviewReplica moves a replica's breaker. Replicas that never failed and whose zone is not doubted
// have none.
func (m *Matcher) reviewReplica(replica *Replica, now time.Time) {
	own := peer.Outcomes{}
	if counter := m.health.outcomes[replica.ID]; counter != nil {
		counter.decay(now)
		own = counter.Outcomes
	}
	seen := addOutcomes(own, m.peerLoad(replica.ID, now).Outcomes)
	suspected := m.health.suspectsZoneOf(replica, now)
	replicaBreaker := m.health.breakers[replica.ID]
	if replicaBreaker == nil {
		if seen.Failed < relapseFailures && !suspected {
			return
		}
		replicaBreaker = m.health.breakerByAddress[replica.Address].inherit(now)
		m.health.breakers[replica.ID] = replicaBreaker
	}
	before := replicaBreaker.state
	replicaBreaker.review(seen, m.evidence(replica, seen, own, now), now)
	if suspected && replicaBreaker.state == breakerClosed {
		replicaBreaker.open(now)
	}
	m.health.breakerByAddress[replica.Address] = replicaBreaker
	if replicaBreaker.state != breakerClosed {
		m.health.breakersNotClosed++
	}
	if replicaBreaker.state == breakerOpen && before != breakerOpen {
		logrus.WithFields(logrus.Fields{
			"replica":  replica.ID,
			"evidence": replicaBreaker.evidence,
			"served":   seen.Served,
			"failed":   seen.Failed,
			"zone":     suspected,
			"pause_ms": replicaBreaker.openDuration.Milliseconds(),
		}).Info("replica left out")
	}
}

// evidence against a replica is the greater of what all callers and what those of the own zone saw,
// against the share of failures at the other replicas.
func (m *Matcher) evidence(replica *Replica, seen, own peer.Outcomes, now time.Time) float64 {
	total := m.health.totalOutcomes.Outcomes
	peers := peerFailureRate(addOutcomes(total, m.peerOutcomes(now)), seen)
	if total.Served+total.Failed > minOwnRequests {
		peers = max(peers, peerFailureRate(total, own))
	}
	near := m.zoneOutcomes(replica.ID, now)
	return max(logLikelihoodRatio(seen, peers), logLikelihoodRatio(near, peers))
}
