package routing

import (
	"context"
	"time"
)

// A prompt that was read is held at its prefill replica while the request goes on. Reading may take seconds, so the decode
// replica that was chosen before is looked at again, and if it may not continue the request is decided anew with the same
// memory (Request.HeldPrefill).

// prefilledNotice tells Run that the prompt of a request was read.
type prefilledNotice struct {
	read   *Ticket
	at     time.Time
	usable chan bool
}

// CompletePrefill records that the prompt of a request was read and reports whether the decode replica that was chosen with the step
// may still continue. If not, its place is given back and its ticket is void: the submitter submits the request again with
// the step as Request.HeldPrefill. If the context ends first the ticket stays valid and is to be reported.
func (m *Matcher) CompletePrefill(ctx context.Context, step *PrefillStep) bool {
	notice := prefilledNotice{read: step.Ticket, at: m.clock(), usable: make(chan bool, 1)}
	select {
	case m.inbox.prefilled <- notice:
		return <-notice.usable
	case <-ctx.Done():
		m.Report(step.Ticket, OutcomePrefilled)
		return true
	}
}

// handlePrefilled answers a notice.
func (m *Matcher) handlePrefilled(notice prefilledNotice) {
	m.handleReport(Report{Ticket: notice.read, Outcome: OutcomePrefilled, At: notice.at})
	decode := notice.read.next
	usable := m.mayContinue(decode, notice.at)
	if !usable {
		m.giveBack(decode)
	}
	notice.usable <- usable
}

// mayContinue reports whether the replica of a decode ticket may continue its request now.
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

// isEjected reports whether a replica's breaker is open and the replica may be withheld from the request.
func (m *Matcher) isEjected(request *Request, replica *Replica, now time.Time) bool {
	replicaBreaker := m.health.breakers[replica.ID]
	if replicaBreaker == nil || replicaBreaker.state != breakerOpen {
		return false
	}
	return m.ejectableReplicas(request, replica.Phase, now)[replica.ID]
}

// giveBack removes a decode ticket whose request goes elsewhere. The memory of the prompt stays held.
func (m *Matcher) giveBack(decode *Ticket) {
	m.replicas.watch(decode.replica).finish(decode)
	m.demand.recordEnd(decode.request)
}

// heldChoice is the prefill choice of a request whose prompt was read already: reading costs nothing more.
func (m *Matcher) heldChoice(held *PrefillStep) prefillChoice {
	state := m.replicas.watch(held.Replica.ID)
	return prefillChoice{
		node:        noNode,
		source:      held.Replica,
		successRate: state.predictor.SuccessRate(),
	}
}

// sendHeld counts a request at the decode replica that continues from the memory which it holds.
func (m *Matcher) sendHeld(request *Request, node *replicaNode, scored scoredPair, now time.Time) {
	read := request.HeldPrefill.Ticket
	decode := newDecodeTicket(request, node, scored, read, now)
	read.next = decode
	node.state.recordTicket(decode)
	m.recordSend(request, node, 0, now)
	m.demand.recordStart(request)
	m.resolve(request, Decision{Replica: node.replica, Ticket: decode, Prefill: request.HeldPrefill})
}

// newDecodeTicket is the ticket of the step that continues from a prompt which is, or will be, read with another one.
func newDecodeTicket(request *Request, node *replicaNode, scored scoredPair, read *Ticket, now time.Time) *Ticket {
	return &Ticket{
		request:     request,
		replica:     node.replica.ID,
		step:        stepDecode,
		key:         stepKeyOf(node.replica, stepDecode),
		features:    scored.features,
		predictedMs: scored.predictedMs - scored.prefill.predictedMs,
		pace:        1,
		sentAt:      now,
		prefill:     read,
	}
}

// retainHeld counts the memory that a resubmitted request holds, if any.
func (m *Matcher) retainHeld(request *Request) {
	if request.HeldPrefill == nil || request.HeldPrefill.Ticket.holding {
		return
	}
	read := request.HeldPrefill.Ticket
	read.holding = true
	m.replicas.watch(read.replica).held.add(read.tokens())
}

// dropHeld counts the memory that a request holds, if any, as freed: its submitter frees it.
func (m *Matcher) dropHeld(request *Request) {
	if request.HeldPrefill != nil {
		m.releaseHeld(request.HeldPrefill.Ticket)
	}
}
