package match

import (
	"time"

	"ferryspar/internal/peer"
)

const (
	// lateFactor times the predicted latency is the time after which a first event is overdue.
	lateFactor = 4
	// calmLoad and busyLoad are shares of a replica's slots. Above calmLoad neither lateness nor a
	// refusal as full is held against it, above busyLoad no missing first event.
	calmLoad = 0.25
	busyLoad = 0.6
	// failedSpacing: failures of one replica closer together count once.
	failedSpacing = 800 * time.Millisecond
	// lateWeight and resetWeight are parts of a failure; a served request counts half at its first
	// event and half at its end.
	lateWeight  = 0.25
	resetWeight = 0.5
	halfServed  = 0.5
)

// health is what the outcomes of requests say of the replicas (docs/health.md). It belongs to the
// matcher's goroutine.
type health struct {
	tallies map[string]*outcomeTally // own outcomes by replica id
	total   outcomeTally             // own outcomes of all replicas

	breakers         map[string]*breaker // by replica id, of those that failed once
	breakerByAddress map[string]*breaker // the last one at an address, for its next life
	notClosed        int                 // breakers that are not closed
	reviewed         time.Time           // last review

	// ejected holds, by backend and model, the replicas that may be left out. It is worked out on
	// demand and cleared with each review.
	ejected map[[2]string]map[string]bool

	doubtedUntil map[string]time.Time // by zone
	firstListed  map[string]time.Time // by replica id
}

// newHealth holds no records.
func newHealth() *health {
	return &health{
		tallies:          map[string]*outcomeTally{},
		breakers:         map[string]*breaker{},
		breakerByAddress: map[string]*breaker{},
		ejected:          map[[2]string]map[string]bool{},
		doubtedUntil:     map[string]time.Time{},
		firstListed:      map[string]time.Time{},
	}
}

// tally is the tally of a replica, made where there is none yet.
func (h *health) tally(id string) *outcomeTally {
	if h.tallies[id] == nil {
		h.tallies[id] = &outcomeTally{}
	}
	return h.tallies[id]
}

// reported is a replica's record for a load report.
func (h *health) reported(id string, now time.Time) peer.Outcomes {
	if kept := h.tallies[id]; kept != nil {
		return kept.reported(now)
	}
	return peer.Outcomes{}
}

// note counts outcomes of a replica. Failures too close to the last one are not counted; taking one
// back never goes below none.
func (h *health) note(id string, served, failed float64, now time.Time) {
	tally := h.tally(id)
	tally.advance(now)
	if failed > 0 {
		if now.Sub(tally.failedAt) < failedSpacing {
			return
		}
		tally.failedAt = now
	}
	failed = max(failed, -tally.Failed)
	tally.add(served, failed, now)
	h.total.add(served, failed, now)
}

// failures are the outcomes that count as failed, with their weight.
var failures = map[Outcome]float64{
	OutcomeBroken:    1,
	OutcomeFailed:    1,
	OutcomeFull:      1,
	OutcomeUnreached: 1,
	OutcomeLagging:   lateWeight,
	OutcomeReset:     resetWeight,
}

// recordOutcome counts a report in the replica's record: each request as one failure at most, and
// none where the replica was busy enough to explain it.
func (m *Matcher) recordOutcome(report Report) {
	ticket := report.Ticket
	failed, counts := failures[report.Outcome]
	firstEvent := report.Outcome == OutcomeFirst
	overdue := firstEvent && !ticket.answered && report.At.Sub(ticket.sent) > ticket.firstEventBound()
	late := report.Outcome == OutcomeLagging || overdue
	switch {
	case firstEvent && ticket.overdueCounted:
		ticket.overdueCounted = false
		m.health.note(ticket.replica, 0, -1, report.At)
	case (late || report.Outcome == OutcomeFull) && m.busy(ticket.replica, calmLoad):
		ticket.failureCounted = true
	case counts:
		m.recordFailure(ticket, failed, report.At)
	case late:
		m.recordFailure(ticket, lateWeight, report.At)
	case firstEvent && !ticket.answered, report.Outcome == OutcomeServed && !ticket.failureCounted:
		m.health.note(ticket.replica, halfServed, 0, report.At)
	}
}

// busy reports whether a replica runs more than that share of its slots, and more than one request,
// beside the one in question. One that is not listed counts as busy.
func (m *Matcher) busy(id string, share float64) bool {
	running := m.watchState(id).running + m.fleet.Others[id].Running - 1
	for _, replica := range m.fleet.Replicas {
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
	m.health.note(ticket.replica, 0, failed, now)
	m.signalLoad()
}

// firstEventBound is how long after the send a first event is overdue.
func (t *Ticket) firstEventBound() time.Duration {
	return max(darkAfter, lateFactor*time.Duration(t.predicted)*time.Millisecond, t.request.Aim/2)
}

// others is the sum of the other data planes for a replica, none where it is older than othersLife.
func (m *Matcher) others(id string, now time.Time) peer.ReplicaLoad {
	if now.Sub(m.fleet.OthersAt) > othersLife {
		return peer.ReplicaLoad{}
	}
	return m.fleet.Others[id]
}

// fleetTotal is the other data planes' total, none where it is older than othersLife.
func (m *Matcher) fleetTotal(now time.Time) peer.Outcomes {
	if now.Sub(m.fleet.OthersAt) > othersLife {
		return peer.Outcomes{}
	}
	return m.fleet.Total
}

// seen is a replica's record at all data planes.
func (m *Matcher) seen(id string, now time.Time) peer.Outcomes {
	seen := m.others(id, now).Outcomes
	if own := m.health.tallies[id]; own != nil {
		seen = addOutcomes(seen, own.Outcomes)
	}
	return seen
}

// forgetUnlisted drops the records of replicas that have no state any more and of addresses that are no
// longer listed.
func (m *Matcher) forgetUnlisted() {
	addresses := map[string]bool{}
	for _, replica := range m.fleet.Replicas {
		addresses[replica.Address] = true
	}
	kept := func(id string) bool {
		_, listed := m.index.positions[id]
		return listed || m.states[id] != nil
	}
	for id := range m.health.tallies {
		if !kept(id) {
			delete(m.health.tallies, id)
		}
	}
	for id := range m.health.firstListed {
		if !kept(id) {
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
