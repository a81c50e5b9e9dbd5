package routing

import "time"

const (
	// rejectionReviewDelay is the time from a rejection as full to its review: by then the load reports and endpoint sets
	// that were composed after the rejection have arrived.
	rejectionReviewDelay = 500 * time.Millisecond
	// maxPendingRejections limits the number of rejections that await review; further ones are ignored, since a burst with
	// more rejections says nothing about a single replica.
	maxPendingRejections = 256
)

// rejection is a rejection as full by a replica that was not known to be busy.
type rejection struct {
	replica string
	model   string
	at      time.Time
}

// addRejection keeps a rejection for a later review. It counts the rejection at once if the replica's breaker is half-open:
// the replica then runs one request at a time, and the half-open state would be over before the review.
//
// The review is delayed because the explanation may arrive after the rejection: the load of a burst, or the endpoint set
// without the model that the replica was ordered to unload. Counting rejections at once would eject replicas for following
// orders.
func (m *Matcher) addRejection(ticket *Ticket, at time.Time) {
	if m.health.isHalfOpen(ticket.replica) {
		m.recordFailure(ticket, failureWeights[OutcomeFull], minErrorAnswerInterval, at)
		return
	}
	ticket.failureCounted = true
	if len(m.rejections) >= maxPendingRejections {
		return
	}
	m.rejections = append(m.rejections, rejection{replica: ticket.replica, model: ticket.request.Model, at: at})
}

// reviewRejections counts those rejections due for review that the snapshot does not explain.
func (m *Matcher) reviewRejections(wasStalled bool, now time.Time) {
	due := 0
	for _, pending := range m.rejections {
		if now.Sub(pending.at) < rejectionReviewDelay {
			break
		}
		due++
		if !wasStalled && !m.explainsRejection(pending) {
			m.health.recordFailed(pending.replica, failureWeights[OutcomeFull], minErrorAnswerInterval, pending.at)
			m.requestLoadReport()
		}
	}
	m.rejections = append(m.rejections[:0], m.rejections[due:]...)
}

// explainsRejection reports whether the current snapshot explains a rejection: the replica is unlisted, draining or busy, or
// the model is no longer loaded there.
func (m *Matcher) explainsRejection(pending rejection) bool {
	position, listed := m.index.positions[pending.replica]
	if !listed {
		return true
	}
	replica := m.index.replicas[position]
	hasModel := pending.model == "" || replica.Models[pending.model]
	return replica.Draining || !hasModel || replica.isLoadedBy(m.runningAt(pending.replica), lowLoad)
}
