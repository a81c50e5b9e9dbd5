package routing

import (
	"time"

	"ferryspar/internal/discovery"
)

// handleGoneBackoff is how long no prefills are sent to a replica from which a KV cache could not be fetched.
const handleGoneBackoff = 400 * time.Millisecond

// elapsedMs returns the time since the ticket's request was sent, in ms.
func (t *Ticket) elapsedMs(now time.Time) float64 {
	return float64(now.Sub(t.sentAt).Microseconds()) / 1000
}

// isDisaggregated reports whether the ticket's replica does only one phase.
func (t *Ticket) isDisaggregated() bool {
	return t.key.phase == discovery.PhasePrefill || t.key.phase == discovery.PhaseDecode
}

// learnStep trains the latency model of a step and the replica's slowness with one measured latency.
func (m *Matcher) learnStep(state *replicaState, ticket *Ticket, observedMs float64) {
	model := m.models.at(ticket.key)
	if state.slowness.phase == ticket.key.phase {
		state.slowness.observe(ticket.step, observedMs, model.latency(ticket.features))
	}
	model.observe(ticket.features, observedMs)
}

// onPrefilled moves a request from the prefill step to the decode step: the slot at the prefill replica is free, the KV cache
// stays there until the decode replica has fetched it, and the request counts as sent to the decode replica from now on.
func (m *Matcher) onPrefilled(state *replicaState, report Report) {
	ticket := report.Ticket
	if ticket.step != stepPrefill || ticket.firstEventSeen {
		return
	}
	ticket.firstEventSeen, ticket.prefilled = true, true
	ticket.prefilledAt = report.At
	state.recordActivity(report.At)
	m.learnStep(state, ticket, ticket.elapsedMs(report.At))
	state.finish(ticket)
	state.unfetched.add(ticket.tokens())
	ticket.kvCounted = true
	m.replicas.watch(ticket.decode.replica).start(ticket.decode, report.At)
	m.demand.recordStart(ticket.request)
}

// onHandleGone counts a failure of the prefill replica, whose KV cache could not be fetched, unless the decode replica is so
// busy that it may have rejected the request for that reason.
func (m *Matcher) onHandleGone(state *replicaState, report Report) {
	ticket := report.Ticket
	if ticket.prefill == nil || m.isBusy(ticket.replica, highLoad) {
		state.fullUntil = report.At.Add(fullBackoff)
		return
	}
	source := m.replicas.watch(ticket.prefill.replica)
	source.noPrefillUntil = report.At.Add(handleGoneBackoff)
	m.recordFailure(ticket.prefill, 1, minFailureInterval, report.At)
}

// finishTicket removes a ticket whose request has ended at the replica.
func (m *Matcher) finishTicket(state *replicaState, report Report) {
	ticket := report.Ticket
	if ticket.step == stepPrefill {
		m.abandonPrefill(state, report)
		return
	}
	state.finish(ticket)
	if ticket.prefill == nil || ticket.prefill.prefilled {
		m.demand.recordEnd(ticket.request)
	}
	if ticket.prefill != nil {
		m.recordKVReleased(ticket.prefill)
	}
}

// abandonPrefill removes the ticket of a prefill that is not known to be complete. Unless the replica did not execute it, a KV
// cache may remain there that cannot be released, since its handle is unknown.
func (m *Matcher) abandonPrefill(state *replicaState, report Report) {
	ticket := report.Ticket
	if ticket.firstEventSeen {
		return
	}
	m.withdrawPrefill(ticket)
	if !isNotExecutedAfter[report.Outcome] {
		state.unfetched.orphan(ticket.tokens(), report.At.Add(ticket.kvTTL))
	}
}

// withdrawPrefill removes a ticket that was never sent.
func (m *Matcher) withdrawPrefill(ticket *Ticket) {
	if ticket.firstEventSeen {
		return
	}
	ticket.firstEventSeen = true
	m.replicas.watch(ticket.replica).finish(ticket)
}

// recordKVReleased stops counting the KV cache of a prefill, which was fetched or released.
func (m *Matcher) recordKVReleased(ticket *Ticket) {
	if !ticket.kvCounted {
		return
	}
	ticket.kvCounted = false
	m.replicas.watch(ticket.replica).unfetched.release(ticket.tokens())
}
