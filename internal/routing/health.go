package routing

import (
	"time"

	"ferryspar/internal/peer"
)

const (
	// overdueFactor times the predicted latency is the time after which a first event is overdue.
	overdueFactor = 4
	// lowLoad and highLoad are shares of a replica's slots. Above lowLoad neither lateness nor a
	// refusal as full is held against it, above highLoad no missing first event.
	lowLoad  = 0.25
	highLoad = 0.6
	// minFailureInterval: failures of one replica closer together count once.
	minFailureInterval = 800 * time.Millisecond
	// lateWeight and resetWeight are parts of a failure; a served request counts half at its first
	// event and half at its end.
	lateWeight  = 0.25
	resetWeight = 0.5
	halfServed  = 0.5
)

// health is what the outcomes of requests say of the replicas (docs/design/health.md). It belongs to the
// matcher's goroutine.
type health struct {
	outcomes      map[string]*outcomeCounter // own outcomes by replica id
	totalOutcomes outcomeCounter             // own outcomes of all replicas

	breakers          map[string]*breaker // by replica id, of those that failed once
	breakerByAddress  map[string]*breaker // the last one at an address, for its next life
	breakersNotClosed int                 // breakers that are not closed
	reviewedAt        time.Time           // last review

	// ejected holds, by backend and model, the replicas that may be left out. It is worked out on
	// demand and cleared with each review.
	ejected map[[2]string]map[string]bool

	zoneSuspectedUntil map[string]time.Time // by zone
	firstListed        map[string]time.Time // by replica id
}

// newHealth holds no records.
func newHealth() *health {
	return &health{
		outcomes:           map[string]*outcomeCounter{},
		breakers:           map[string]*breaker{},
		breakerByAddress:   map[string]*breaker{},
		ejected:            map[[2]string]map[string]bool{},
		zoneSuspectedUntil: map[string]time.Time{},
		firstListed:        map[string]time.Time{},
	}
}

// tally is the tally of a replica, made where there is none yet.
func (h *health) counter(id string) *outcomeCounter {
	if h.outcomes[id] == nil {
		h.outcomes[id] = &outcomeCounter{}
	}
	return h.outcomes[id]
}

// reported is a replica's record for a load report.
func (h *health) reported(id string, now time.Time) peer.Outcomes {
	if counter := h.outcomes[id]; counter != nil {
		return counter.reported(now)
	}
	return peer.Outcomes{}
}

// note counts outcomes of a replica. Failures too close to the last one are not counted; taking one
// back never goes below none.
func (h *health) record(id string, served, failed float64, now time.Time) {
	counter := h.counter(id)
	counter.decay(now)
	if failed > 0 {
		if now.Sub(counter.failedAt) < minFailureInterval {
			return
		}
		counter.failedAt = now
	}
	failed = max(failed, -counter.Failed)
	counter.add(served, failed, now)
	h.totalOutcomes.add(served, failed, now)
}

// failures are the outcomes that count as failed, with their weight.
var failures = map[Outcome]float64{
	OutcomeTruncated:       1,
	OutcomeFailed:          1,
	OutcomeFull:            1,
	OutcomeUnreachable:     1,
	OutcomeStalled:         lateWeight,
	OutcomeConnectionReset: resetWeight,
}

// recordOutcome counts a report in the replica's record: each request as one failure at most, and
// none where the replica was busy enough to explain it.
func (m *Matcher) recordOutcome(report Report) {
	ticket := report.Ticket
	failed, counts := failures[report.Outcome]
	firstEvent := report.Outcome == OutcomeFirstEvent
	overdue := firstEvent && !ticket.firstEventSeen && report.At.Sub(ticket.sentAt) > ticket.firstEventTimeout()
	late := report.Outcome == OutcomeStalled || overdue
	switch {
	case firstEvent && ticket.overdueCounted:
		ticket.overdueCounted = false
		m.health.record(ticket.replica, 0, -1, report.At)
	case (late || report.Outcome == OutcomeFull) && m.isBusy(ticket.replica, lowLoad):
		ticket.failureCounted = true
	case counts:
		m.recordFailure(ticket, failed, report.At)
	case late:
		m.recordFailure(ticket, lateWeight, report.At)
	case firstEvent && !ticket.firstEventSeen, report.Outcome == OutcomeServed && !ticket.failureCounted:
		m.health.record(ticket.replica, halfServed, 0, report.At)
	}
}

// busy reports whether a replica runs more than that share of its slots, and more than one request,
// beside the one in question. One that is not listed counts as busy.
func (m *Matcher) isBusy(id string, share float64) bool {
	running := m.watchState(id).running + m.snapshot.PeerLoads[id].Running - 1
	for _, replica := range m.snapshot.Replicas {
		if replica.ID == id {
			return float64(running) > max(share*float64(replica.Slots), 1)
		}
	}
	return true
}

// recordFailure counts a failure of that weight once for each ticket, and has it reported at once.
func (m *Matcher) recordFailure(ticket *Ticket, failed float64, now time.Time) {
	if ticket.failureCounted {
		return
	}
	ticket.failureCounted = true
	m.health.record(ticket.replica, 0, failed, now)
	m.requestLoadReport()
}

// firstEventTimeout is how long after the send a first event is overdue.
func (t *Ticket) firstEventTimeout() time.Duration {
	return max(inactivityTimeout, overdueFactor*time.Duration(t.predictedMs)*time.Millisecond, t.request.LatencyTarget/2)
}

// others is the sum of the other data planes for a replica, none where it is older than peerLoadTTL.
func (m *Matcher) peerLoad(id string, now time.Time) peer.ReplicaLoad {
	if now.Sub(m.snapshot.PeerLoadsAt) > peerLoadTTL {
		return peer.ReplicaLoad{}
	}
	return m.snapshot.PeerLoads[id]
}

// peerOutcomes is the other data planes' total, none where it is older than peerLoadTTL.
func (m *Matcher) peerOutcomes(now time.Time) peer.Outcomes {
	if now.Sub(m.snapshot.PeerLoadsAt) > peerLoadTTL {
		return peer.Outcomes{}
	}
	return m.snapshot.PeerOutcomes
}

// seen is a replica's record at all data planes.
func (m *Matcher) allOutcomes(id string, now time.Time) peer.Outcomes {
	seen := m.peerLoad(id, now).Outcomes
	if own := m.health.outcomes[id]; own != nil {
		seen = addOutcomes(seen, own.Outcomes)
	}
	return seen
}

// forgetUnlisted drops the records of replicas that have no state any more and of addresses that are no
// longer listed.
func (m *Matcher) forgetUnlisted() {
	addresses := map[string]bool{}
	for _, replica := range m.snapshot.Replicas {
		addresses[replica.Address] = true
	}
	isKept := func(id string) bool {
		_, listed := m.index.positions[id]
		return listed || m.states[id] != nil
	}
	for id := range m.health.outcomes {
		if !isKept(id) {
			delete(m.health.outcomes, id)
		}
	}
	for id := range m.health.firstListed {
		if !isKept(id) {
			delete(m.health.firstListed, id)
			delete(m.health.breakers, id)
		}
	}
	for address := range m.health.breakerByAddress {
		if !addresses[address] {
			delete(m.health.breakerByAddress, address)
		}
	}
}
