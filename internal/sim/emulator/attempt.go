package emulator

import (
	"net/http"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/routing"
)

// attempt is one attempt of a call at one edge; the edge may forward it to several replicas in turn.
type attempt struct {
	call *call
	edge *edge
	// incarnation is the edge's incarnation in which the attempt arrived; a restarted edge knows nothing of it.
	incarnation int
	number      int
	request     routing.Request
	// pending is the request while the matcher has it queued, or nil.
	pending *routing.Request
	// forwardNumber distinguishes the answers of the current forward from those of earlier ones.
	forwardNumber int
	// forwards counts the forwards that reached a replica.
	forwards int
	// unreached counts the forwards that found no connection.
	unreached int
	// mayHaveRun is set once a forward failed without proof that nothing was executed.
	mayHaveRun bool
	// headSent is set once an event went to the client.
	headSent bool
	// lastID is the last event sent to the client, or the one it resumes after.
	lastID    int
	replicaID string
	ticket    *routing.Ticket
	execution *execution
	// step is the prefill step under way, and decode the replica that is to continue; held is the memory of the prompt once it
	// was read. prefillFailures counts the prefill replicas that failed.
	step            *routing.PrefillStep
	decode          *routing.Replica
	held            *heldPrompt
	prefillFailures int
	lastByte        time.Time
	// lastReported is when the matcher was last notified that the stream is alive.
	lastReported time.Time
	// firstSeen is set once the current forward has answered.
	firstSeen bool
	closed    bool
	submitted time.Time
}

const (
	// connectTimeout is how long an edge waits for a connection to a replica that is dark.
	connectTimeout = 400 * time.Millisecond
	// silenceTimeout is how long an edge waits for the next byte of a replica.
	silenceTimeout = 3 * time.Second
	// idleTime is how long an unused connection to a replica is kept.
	idleTime = 3 * time.Second
	// aliveEvery is how often the matcher is notified that a stream goes on.
	aliveEvery = 250 * time.Millisecond
	// unreachedBound is how many forwards without a connection an attempt may make.
	unreachedBound = 4
)

// isOver reports whether the attempt is closed or its edge has died since.
func (p *attempt) isOver() bool {
	return p.closed || !p.edge.alive || p.edge.incarnation != p.incarnation
}

// enqueue gives the request to the matcher, for the first time or again.
func (p *attempt) enqueue() {
	request := p.request
	p.pending, p.submitted = &request, p.edge.world.now()
	request.Resumed = p.headSent
	p.edge.waiting = append(p.edge.waiting, p)
	p.edge.matcher.Enqueue(p.pending)
	p.edge.collectAnswers()
}

// onCommand follows the matcher's decision: to forward to a replica, or to fail.
func (p *attempt) onCommand(command routing.Decision) {
	p.pending = nil
	if command.Error != nil {
		p.fail(command.Error)
		return
	}
	w := p.edge.world
	p.ticket = command.Ticket
	p.recordForward(command.Replica.ID)
	if p.forwards > 0 && !p.edge.budget.Allow(w.now(), p.edge.fleet.Load().DataPlaneCount) {
		p.edge.reportOutcome(p.ticket, routing.OutcomeCancelled)
		p.fail(apierror.NewRetryable(apierror.NotExecuted, 100*time.Millisecond))
		return
	}
	if command.Prefill != p.request.CompletedPrefill {
		p.dropHeld()
	}
	if command.Prefill != nil && p.held == nil {
		p.prefill(command)
		return
	}
	p.forward(w.servers[command.Replica.ID])
}

// neverRan holds the outcomes that prove that the replica executed nothing of the request.
var neverRan = map[routing.Outcome]bool{
	routing.OutcomeFull:         true,
	routing.OutcomeModelMissing: true,
	routing.OutcomeUnreachable:  true,
	routing.OutcomeHandleGone:   true,
}

// onOutcome handles the failure of a forward. Another replica is tried only if nothing was executed
// or the class is resumable, and only within the retry count.
func (p *attempt) onOutcome(number int, outcome routing.Outcome) {
	if p.isOver() || p.forwardNumber != number || p.ticket == nil {
		return
	}
	if p.step != nil {
		p.onPrefillFailure(outcome)
		return
	}
	if outcome == routing.OutcomeFull && p.held != nil {
		outcome = routing.OutcomeHandleGone
		p.request.ExcludedReplicas[p.held.server.id] = true
	}
	if p.held != nil && outcome != routing.OutcomeUnreachable && outcome != routing.OutcomeModelMissing {
		p.dropHeld()
	}
	if outcome == routing.OutcomeUnreachable {
		p.unreached++
	} else {
		p.forwards++
	}
	p.reportOutcome(outcome)
	p.hangUp()
	p.mayHaveRun = p.mayHaveRun || !neverRan[outcome]
	p.request.ExcludedReplicas[p.replicaID] = true
	class := p.call.class
	switch {
	case !neverRan[outcome] && (!class.Resumable || p.headSent && p.lastID == 0):
		p.fail(apierror.New(apierror.ReplicaFailed, ""))
	case p.forwards < max(class.RetryCount, 1) && p.unreached < unreachedBound:
		p.enqueue()
	case neverRan[outcome] && !p.mayHaveRun:
		p.fail(apierror.NewRetryable(apierror.NotExecuted, 50*time.Millisecond))
	default:
		p.fail(apierror.New(apierror.ReplicaFailed, ""))
	}
	p.edge.collectAnswers()
}

// reportOutcome gives the forward's final outcome to the matcher.
func (p *attempt) reportOutcome(outcome routing.Outcome) {
	ticket := p.ticket
	p.ticket = nil
	p.edge.reportOutcome(ticket, outcome)
}

// toClient acts at the client after the link's delay.
func (p *attempt) toClient(act func()) { p.edge.afterLink(p.call.request.Zone, act) }

// reject answers the client that nothing was executed and when to come back.
func (p *attempt) reject(wait time.Duration) {
	p.closed = true
	p.toClient(func() { p.call.onRejected(p.number, wait) })
}

// fail answers with an error: a rejection if nothing was executed, a truncated answer otherwise.
func (p *attempt) fail(failure *apierror.Error) {
	p.dropHeld()
	if p.headSent || p.mayHaveRun || failure.Kind.Status() != http.StatusServiceUnavailable {
		p.closed = true
		p.toClient(func() { p.call.onBroken(p.number) })
		return
	}
	p.reject(failure.RetryAfter)
}

// cancel ends the attempt at its client's wish.
func (p *attempt) cancel() {
	if p.isOver() {
		return
	}
	p.closed = true
	p.dropHeld()
	if p.step != nil {
		p.edge.reportOutcome(p.step.Ticket, routing.OutcomeCancelled)
		p.step = nil
	}
	if p.pending != nil {
		p.edge.removeWaiting(p)
		p.edge.matcher.Cancel(p.pending)
		p.pending = nil
	} else if p.ticket != nil {
		p.reportOutcome(routing.OutcomeCancelled)
		p.hangUp()
	}
	p.edge.collectAnswers()
}
