package emulator

import (
	"net/http"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/routing"
)

// attempt is one attempt of a call at one edge. The edge may forward it to several replicas in turn.
type attempt struct {
	call *call
	edge *edge
	// incarnation is the edge's incarnation when the attempt was sent; a restarted edge has lost its state.
	incarnation int
	number      int
	request     routing.Request
	// pending is the request while it is queued in the matcher, or nil.
	pending *routing.Request
	// forwardNumber distinguishes responses to the current forward from those to earlier ones.
	forwardNumber int
	// forwards is the number of failed forwards that reached a replica.
	forwards int
	// connectFailures is the number of forwards that failed to connect.
	connectFailures int
	// mayHaveExecuted is set once a forward has failed without proof that nothing was executed.
	mayHaveExecuted bool
	// headSent is set once the response to the client has begun.
	headSent bool
	// lastID is the ID of the last event sent to the client, or of the event that it resumes after.
	lastID    int
	replicaID string
	ticket    *routing.Ticket
	execution *execution
	// prefillStep is the prefill in progress, and decodeReplica the replica that is to decode; held is the KV
	// cache of the prompt after its prefill. prefillFailures counts the prefill replicas that failed.
	prefillStep     *routing.PrefillStep
	decodeReplica   *routing.Replica
	held            *heldPrompt
	prefillFailures int
	lastByteAt      time.Time
	// lastReportedAt is when progress of the stream was last reported to the matcher.
	lastReportedAt time.Time
	// firstEventSeen is set once the current forward has returned an event.
	firstEventSeen bool
	closed         bool
	enqueuedAt     time.Time
}

const (
	// connectTimeout is how long an edge waits for a connection to a replica that does not respond.
	connectTimeout = 400 * time.Millisecond
	// silenceTimeout is how long an edge waits for the next byte from a replica.
	silenceTimeout = 3 * time.Second
	// idleConnectionTimeout is how long an idle connection to a replica is kept open.
	idleConnectionTimeout = 3 * time.Second
	// progressReportInterval is the minimum time between progress reports of a stream to the matcher.
	progressReportInterval = 250 * time.Millisecond
	// maxConnectFailures is the number of connection failures after which an attempt fails.
	maxConnectFailures = 4
)

// isOver reports whether the attempt is closed or its edge has died or restarted since it was sent.
func (p *attempt) isOver() bool {
	return p.closed || !p.edge.alive || p.edge.incarnation != p.incarnation
}

// enqueue queues the request in the matcher, initially or for another forward.
func (p *attempt) enqueue() {
	request := p.request
	p.pending, p.enqueuedAt = &request, p.edge.world.now()
	request.Resumed = p.headSent
	p.edge.waiting = append(p.edge.waiting, p)
	p.edge.matcher.Enqueue(p.pending)
	p.edge.processDecisions()
}

// onDecision carries out the matcher's decision: to forward to a replica or to fail.
func (p *attempt) onDecision(decision routing.Decision) {
	p.pending = nil
	if decision.Error != nil {
		p.fail(decision.Error)
		return
	}
	w := p.edge.world
	p.ticket = decision.Ticket
	p.recordForward(decision.Replica.ID)
	if p.forwards > 0 && !p.edge.budget.Allow(w.now(), p.edge.fleet.Load().DataPlaneCount) {
		p.edge.reportOutcome(p.ticket, routing.OutcomeCancelled)
		p.fail(apierror.NewRetryable(apierror.NotExecuted, 100*time.Millisecond))
		return
	}
	if decision.Prefill != p.request.CompletedPrefill {
		p.releaseHeld()
	}
	if decision.Prefill != nil && p.held == nil {
		p.prefill(decision)
		return
	}
	p.forward(w.servers[decision.Replica.ID])
}

// notExecutedOutcomes holds the outcomes that prove that the replica did not execute the request.
var notExecutedOutcomes = map[routing.Outcome]bool{
	routing.OutcomeFull:         true,
	routing.OutcomeModelMissing: true,
	routing.OutcomeUnreachable:  true,
	routing.OutcomeHandleGone:   true,
}

// onOutcome handles the failure of a forward. It tries another replica only if nothing was executed or the
// class is resumable, and only within the retry count.
func (p *attempt) onOutcome(number int, outcome routing.Outcome) {
	if p.isOver() || p.forwardNumber != number || p.ticket == nil {
		return
	}
	if p.prefillStep != nil {
		p.onPrefillFailure(outcome)
		return
	}
	if outcome == routing.OutcomeFull && p.held != nil {
		outcome = routing.OutcomeHandleGone
		p.request.ExcludedReplicas[p.held.server.id] = true
	}
	if p.held != nil && outcome != routing.OutcomeUnreachable && outcome != routing.OutcomeModelMissing {
		p.releaseHeld()
	}
	if outcome == routing.OutcomeUnreachable {
		p.connectFailures++
	} else {
		p.forwards++
	}
	p.reportOutcome(outcome)
	p.closeConnection()
	p.mayHaveExecuted = p.mayHaveExecuted || !notExecutedOutcomes[outcome]
	p.request.ExcludedReplicas[p.replicaID] = true
	class := p.call.class
	switch {
	case !notExecutedOutcomes[outcome] && (!class.Resumable || p.headSent && p.lastID == 0):
		p.fail(apierror.New(apierror.ReplicaFailed, ""))
	case p.forwards < max(class.RetryCount, 1) && p.connectFailures < maxConnectFailures:
		p.enqueue()
	case notExecutedOutcomes[outcome] && !p.mayHaveExecuted:
		p.fail(apierror.NewRetryable(apierror.NotExecuted, 50*time.Millisecond))
	default:
		p.fail(apierror.New(apierror.ReplicaFailed, ""))
	}
	p.edge.processDecisions()
}

// reportOutcome reports the final outcome of the forward to the matcher.
func (p *attempt) reportOutcome(outcome routing.Outcome) {
	ticket := p.ticket
	p.ticket = nil
	p.edge.reportOutcome(ticket, outcome)
}

// sendToClient calls act after the delay of the link to the client.
func (p *attempt) sendToClient(act func()) { p.edge.afterLink(p.call.request.Zone, act) }

// reject tells the client that nothing was executed and how long to wait before a retry.
func (p *attempt) reject(wait time.Duration) {
	p.closed = true
	p.sendToClient(func() { p.call.onRejected(p.number, wait) })
}

// fail ends the attempt with an error: as a rejection if nothing was executed and the error is a 503, as
// a truncated response otherwise.
func (p *attempt) fail(failure *apierror.Error) {
	p.releaseHeld()
	if p.headSent || p.mayHaveExecuted || failure.Kind.Status() != http.StatusServiceUnavailable {
		p.closed = true
		p.sendToClient(func() { p.call.onTruncated(p.number) })
		return
	}
	p.reject(failure.RetryAfter)
}

// cancel ends the attempt because the client has abandoned it.
func (p *attempt) cancel() {
	if p.isOver() {
		return
	}
	p.closed = true
	p.releaseHeld()
	if p.prefillStep != nil {
		p.edge.reportOutcome(p.prefillStep.Ticket, routing.OutcomeCancelled)
		p.prefillStep = nil
	}
	if p.pending != nil {
		p.edge.removeWaiting(p)
		p.edge.matcher.Cancel(p.pending)
		p.pending = nil
	} else if p.ticket != nil {
		p.reportOutcome(routing.OutcomeCancelled)
		p.closeConnection()
	}
	p.edge.processDecisions()
}
