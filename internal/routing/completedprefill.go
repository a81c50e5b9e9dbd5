package routing

import (
	"context"
	"time"
)

// A prefill may take seconds, so the decode replica that was chosen before it is checked again when the prefill is complete.
// If that replica may no longer be used, the request is decided again with the same KV cache, which stays at the prefill
// replica (Request.CompletedPrefill).

// prefilledNotice tells Run that the prefill of a request is complete.
type prefilledNotice struct {
	prefill *Ticket
	at      time.Time
	usable  chan bool
}

// CompletePrefill records that a prefill step is complete and reports whether the decode replica that was chosen with it may
// still be used. If not, the slot there is released and the decode ticket is void: the caller must submit the request again
// with the step as Request.CompletedPrefill. If the context ends first, the ticket stays valid and its outcome must be reported.
func (m *Matcher) CompletePrefill(ctx context.Context, step *PrefillStep) bool {
	notice := prefilledNotice{prefill: step.Ticket, at: m.clock(), usable: make(chan bool, 1)}
	select {
	case m.inbox.prefilled <- notice:
		return <-notice.usable
	case <-ctx.Done():
		m.Report(step.Ticket, OutcomePrefilled)
		return true
	}
}

// handlePrefilled processes a notice and answers it.
func (m *Matcher) handlePrefilled(notice prefilledNotice) {
	m.handleReport(Report{Ticket: notice.prefill, Outcome: OutcomePrefilled, At: notice.at})
	decode := notice.prefill.decode
	usable := m.mayContinue(decode, notice.at)
	if !usable {
		m.releaseDecode(decode)
	}
	notice.usable <- usable
}

// mayContinue reports whether the replica of a decode ticket may still serve the request.
func (m *Matcher) mayContinue(decode *Ticket, now time.Time) bool {
	position, listed := m.index.positions[decode.replica]
	if !listed {
		return false
	}
	replica := m.index.replicas[position]
	if _, err := m.snapshot.Admit(decode.request, replica); err != nil {
		return false
	}
	return !m.replicas.watch(decode.replica).shuttingDown && !m.isEjected(decode.request, replica, now)
}

// isEjected reports whether a replica's breaker is open and the replica may be withheld from the request
// (ejectableReplicas).
func (m *Matcher) isEjected(request *Request, replica *Replica, now time.Time) bool {
	replicaBreaker := m.health.breakers[replica.ID]
	if replicaBreaker == nil || replicaBreaker.state != breakerOpen {
		return false
	}
	return m.ejectableReplicas(request, replica.Phase, now)[replica.ID]
}

// releaseDecode removes a decode ticket whose request is decided again. The KV cache stays at the prefill replica.
func (m *Matcher) releaseDecode(decode *Ticket) {
	m.replicas.watch(decode.replica).finish(decode)
	m.demand.recordEnd(decode.request)
}

// completedPrefillChoice returns the prefill choice of a request whose prefill is already complete, at no further cost.
func (m *Matcher) completedPrefillChoice(completed *PrefillStep) prefillChoice {
	state := m.replicas.watch(completed.Replica.ID)
	return prefillChoice{
		node:        noNode,
		source:      completed.Replica,
		successRate: state.predictor.SuccessRate(),
	}
}

// sendDecode counts a request whose prefill is already complete at the decode replica that continues from its KV cache.
func (m *Matcher) sendDecode(request *Request, node *replicaNode, scored scoredPair, now time.Time) {
	prefill := request.CompletedPrefill.Ticket
	decode := m.newDecodeTicket(request, node, scored, prefill, now)
	prefill.decode = decode
	node.state.recordTicket(decode)
	m.recordSend(request, node, 0, now)
	m.demand.recordStart(request)
	m.resolve(request, Decision{Replica: node.replica, Ticket: decode, Prefill: request.CompletedPrefill})
}

// newDecodeTicket returns the ticket of the decode step that follows the prefill step of another ticket.
func (m *Matcher) newDecodeTicket(
	request *Request, node *replicaNode, scored scoredPair, prefill *Ticket, now time.Time,
) *Ticket {
	return &Ticket{
		request:       request,
		replica:       node.replica.ID,
		step:          stepDecode,
		key:           stepKeyOf(node.replica, stepDecode),
		features:      scored.features,
		predictedMs:   scored.predictedMs - scored.prefill.predictedMs,
		prefillFactor: 1,
		sentAt:        now,
		prefill:       prefill,
		expectedMs:    m.expectedMs(request),
	}
}

// recordPrefillKept counts the KV cache of a resubmitted request's completed prefill, if any, unless it is still counted.
func (m *Matcher) recordPrefillKept(request *Request) {
	if request.CompletedPrefill == nil || request.CompletedPrefill.Ticket.kvCounted {
		return
	}
	prefill := request.CompletedPrefill.Ticket
	prefill.kvCounted = true
	m.replicas.watch(prefill.replica).unfetched.add(prefill.tokens())
}

// recordPrefillDiscarded stops counting the KV cache of a request's completed prefill, if any: the submitter releases it.
func (m *Matcher) recordPrefillDiscarded(request *Request) {
	if request.CompletedPrefill != nil {
		m.recordKVReleased(request.CompletedPrefill.Ticket)
	}
}
