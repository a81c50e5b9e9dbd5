package routing

import (
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

const (
	// overdueFactor times the predicted latency is the time after which a first event is overdue.
	overdueFactor = 4
	// lowLoad and highLoad are shares of a replica's slots. Above lowLoad, neither a late first event nor a
	// rejection as full counts as a failure; above highLoad, a missing first event does not either.
	lowLoad  = 0.25
	highLoad = 0.6
	// minFailureInterval is the least time between two failures of a replica that count: one faulty link or one incident may
	// cause several, such as connections that are reset together or first events that become overdue one after another.
	minFailureInterval = 800 * time.Millisecond
	// minErrorAnswerInterval is the same for error answers, each of which concerns one request only.
	minErrorAnswerInterval = 300 * time.Millisecond
	// lateWeight and resetWeight are the weights of a late first event and of a reset connection relative to
	// a failure; a served request counts halfServedWeight at its first event and again at its end.
	lateWeight       = 0.25
	resetWeight      = 0.5
	halfServedWeight = 0.5
)

// health tracks the health of the replicas by the outcomes of requests (docs/design/health.md). It belongs to
// the matcher's goroutine.
type health struct {
	outcomes      map[string]*outcomeCounter // own outcomes by replica id
	totalOutcomes outcomeCounter             // own outcomes of all replicas

	breakers          map[string]*breaker // by replica id, for replicas that have failed
	breakerByAddress  map[string]*breaker // the last breaker at an address, for the replica's next incarnation
	breakersNotClosed int
	reviewedAt        time.Time // last review

	// ejected caches the replicas that may be withheld from requests for a model. It is cleared by each review.
	ejected map[ejectionKey]map[string]bool

	zoneSuspectedUntil map[string]time.Time // by zone
	firstListed        map[string]time.Time // by replica id
}

func newHealth() *health {
	return &health{
		outcomes:           map[string]*outcomeCounter{},
		breakers:           map[string]*breaker{},
		breakerByAddress:   map[string]*breaker{},
		ejected:            map[ejectionKey]map[string]bool{},
		zoneSuspectedUntil: map[string]time.Time{},
		firstListed:        map[string]time.Time{},
	}
}

// counter returns the outcome counter of a replica, creating it if necessary.
func (h *health) counter(id string) *outcomeCounter {
	if h.outcomes[id] == nil {
		h.outcomes[id] = &outcomeCounter{}
	}
	return h.outcomes[id]
}

// isHalfOpen reports whether a replica's breaker admits one request at a time.
func (h *health) isHalfOpen(id string) bool {
	current := h.breakers[id]
	return current != nil && (current.state == breakerProbing || current.state == breakerRecovering)
}

// reported returns a replica's outcomes for a load report.
func (h *health) reported(id string, now time.Time) peer.Outcomes {
	if counter := h.outcomes[id]; counter != nil {
		return counter.reported(now)
	}
	return peer.Outcomes{}
}

// recordFailed counts a failure of a replica, unless one was counted within the interval before.
func (h *health) recordFailed(id string, weight float64, interval time.Duration, now time.Time) {
	counter := h.counter(id)
	if now.Sub(counter.failedAt) < interval {
		return
	}
	counter.failedAt = now
	h.record(id, 0, weight, now)
}

// record counts outcomes of a replica. A negative failed takes failures back, but never more than there are.
func (h *health) record(id string, served, failed float64, now time.Time) {
	counter := h.counter(id)
	counter.decay(now)
	failed = max(failed, -counter.Failed)
	counter.add(served, failed, now)
	h.totalOutcomes.add(served, failed, now)
}

// allOutcomes returns a replica's outcomes at all data planes.
func (h *health) allOutcomes(snapshot *Snapshot, id string, now time.Time) peer.Outcomes {
	outcomes := snapshot.recentPeerLoad(id, now).Outcomes
	if own := h.outcomes[id]; own != nil {
		outcomes = addOutcomes(outcomes, own.Outcomes)
	}
	return outcomes
}

// forgetUnlisted drops the records of unknown replicas and of addresses that are no longer listed.
func (h *health) forgetUnlisted(listed []*Replica, isKnown func(id string) bool) {
	addresses := map[string]bool{}
	for _, replica := range listed {
		addresses[replica.Address] = true
	}
	for id := range h.outcomes {
		if !isKnown(id) {
			delete(h.outcomes, id)
		}
	}
	for id := range h.firstListed {
		if !isKnown(id) {
			delete(h.firstListed, id)
			delete(h.breakers, id)
		}
	}
	for address := range h.breakerByAddress {
		if !addresses[address] {
			delete(h.breakerByAddress, address)
		}
	}
}

// failureWeights are the weights of the outcomes that count as failures.
var failureWeights = map[Outcome]float64{
	OutcomeTruncated:       1,
	OutcomeFailed:          1,
	OutcomeFull:            1,
	OutcomeUnreachable:     1,
	OutcomeStalled:         lateWeight,
	OutcomeConnectionReset: resetWeight,
}

// failureInterval is the least time between two failures of a replica that count.
func failureInterval(outcome Outcome) time.Duration {
	if outcome == OutcomeFailed {
		return minErrorAnswerInterval
	}
	return minFailureInterval
}

// recordOutcome counts a report in the replica's record. A request counts as one failure at most, and as none
// if the replica's load explains the failure.
func (m *Matcher) recordOutcome(report Report) {
	ticket := report.Ticket
	weight, isFailure := failureWeights[report.Outcome]
	isFirstEvent := report.Outcome == OutcomeFirstEvent
	isOverdue := isFirstEvent && !ticket.firstEventSeen && report.At.Sub(ticket.sentAt) > ticket.firstEventTimeout()
	isLate := report.Outcome == OutcomeStalled || isOverdue
	if isLate && ticket.isDisaggregated() {
		// At any load, a prefill may delay the streams of a replica.
		return
	}
	switch {
	case isFirstEvent && ticket.overdueCounted:
		ticket.overdueCounted = false
		m.health.record(ticket.replica, 0, -1, report.At)
	case (isLate || report.Outcome == OutcomeFull) && m.isBusy(ticket.replica, lowLoad):
		ticket.failureCounted = true
	case report.Outcome == OutcomeFull:
		m.addRejection(ticket, report.At)
	case isFailure:
		m.recordFailure(ticket, weight, failureInterval(report.Outcome), report.At)
	case isLate:
		m.recordFailure(ticket, lateWeight, minFailureInterval, report.At)
	case isFirstEvent && !ticket.firstEventSeen, report.Outcome == OutcomeServed && !ticket.failureCounted:
		m.health.record(ticket.replica, halfServedWeight, 0, report.At)
	}
}

// busyPrefills is the number of requests above which a prefill replica counts as busy, whatever its slots: it has slots for
// far more prompts than it can prefill in time.
const busyPrefills = 2

// isBusy reports whether a replica runs more requests than the given share of its slots, and more than one,
// besides the request in question. A replica that is not listed counts as busy.
func (m *Matcher) isBusy(id string, share float64) bool {
	position, listed := m.index.positions[id]
	return !listed || m.index.replicas[position].isLoadedBy(m.runningAt(id)-1, share)
}

// runningAt returns the number of requests that a replica runs for all data planes, as far as is known here.
func (m *Matcher) runningAt(id string) int {
	return m.replicas.watch(id).running + m.snapshot.PeerLoads[id].Running
}

// isLoadedBy reports whether a number of running requests exceeds the given share of the replica's slots, and one.
func (r *Replica) isLoadedBy(running int, share float64) bool {
	if r.Phase == discovery.PhasePrefill {
		return running > busyPrefills
	}
	return float64(running) > max(share*float64(r.Slots), 1)
}

// recordFailure counts a failure, at most once for each ticket and once in an interval, and requests a load report.
func (m *Matcher) recordFailure(ticket *Ticket, weight float64, interval time.Duration, now time.Time) {
	if ticket.failureCounted {
		return
	}
	ticket.failureCounted = true
	m.health.recordFailed(ticket.replica, weight, interval, now)
	m.requestLoadReport()
}

// suspicionTimeout returns how long a first event may be awaited from a replica without activity before the replica is
// suspected. Replicas of a disaggregated backend show little activity: a prefill replica only when a prefill is complete.
func (t *Ticket) suspicionTimeout() time.Duration {
	switch {
	case t.step == stepPrefill:
		return t.timeout
	case t.isDisaggregated():
		return t.firstEventTimeout()
	}
	return inactivityTimeout
}

// prefillTimeout returns how long a prefill step may take that is sent now: as long as what follows it still fits the request's
// remaining time. That is the decode step and the answer, or, if the prompt is short enough to be prefilled at the decode replica
// instead, that prefill and the answer.
func (m *Matcher) prefillTimeout(request *Request, now time.Time) time.Duration {
	restMs := m.decodeMs(request)
	if request.PromptTokens <= MaxColocatedPrefillTokens {
		key := stepKey{backend: request.Backend, phase: discovery.PhaseDecode, step: stepFull}
		restMs = m.scaledTokens(request) / tokensPerThousand * m.models.at(key).prefillMsPerThousand()
	}
	restMs += m.answers.expectedMs(request)
	return max(request.Deadline.Sub(now)-fromMs(restMs), 0)
}

// firstEventTimeout returns the time after the send from which a first event is overdue.
func (t *Ticket) firstEventTimeout() time.Duration {
	predicted := time.Duration(t.predictedMs) * time.Millisecond
	return max(inactivityTimeout, overdueFactor*predicted)
}
