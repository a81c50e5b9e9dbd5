package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

const (
	// minPrefillTime is the least that a prefill step is given.
	minPrefillTime = 100 * time.Millisecond
	// prefillGrace is how long the step goes on for its answer after the client has gone or the deadline has passed.
	prefillGrace = 100 * time.Millisecond
	// maxPrefillFailures is after how many failures of prefill replicas a request goes on without one.
	maxPrefillFailures = 2
)

// errReassign says that nothing was sent to the assigned replica, or nothing that can run: the request is assigned anew.
var errReassign = errors.New("assign another replica")

// heldPrompt is a prompt that a replica has read for a request, with the handle of its memory.
type heldPrompt struct {
	handle *replica.KVHandle
	step   *routing.PrefillStep
}

// send sends the attempt: the prompt to the prefill replica first, if the assignment has one. The error, if any, is errReassign
// or of package apierror; there is no response then.
func (e *exchange) send(ctx context.Context, assignment routing.Decision) (*http.Response, replica.Verdict, error) {
	upstream := e.parsed.upstream
	if e.headerSent {
		upstream.LastEventID = e.events.LastID
	}
	if err := e.holdPrompt(ctx, assignment.Prefill, upstream); err != nil {
		return nil, replica.VerdictUnknown, err
	}
	target, err := e.admit(assignment.Replica)
	if err != nil {
		return nil, replica.VerdictUnknown, err
	}
	upstream.Tenant = e.parsed.upstream.Tenant
	if e.held == nil {
		response, verdict := e.handler.forwarder.Send(ctx, target, upstream)
		return response, verdict, nil
	}
	response, verdict := e.handler.forwarder.SendDecode(ctx, target, upstream, e.held.handle)
	if verdict == replica.VerdictRejected {
		e.handler.Attempts.add(upstream.Backend, outcomeHandleGone)
	}
	if verdict != replica.VerdictAnswered && !e.held.handle.Unused() {
		// Whether its memory could not be had or the request was lost on the way, another replica reads the prompt next.
		e.parsed.request.ExcludedReplicas[assignment.Prefill.Replica.ID] = true
		e.dropHeld(ctx)
	}
	if verdict == replica.VerdictAnswered {
		e.held = nil
	}
	return response, verdict, nil
}

// admit looks at the present snapshot, key and configuration once more before the request is sent to the replica that it was
// assigned to: much may have changed while it waited for the assignment or for its prompt to be read.
func (e *exchange) admit(assigned *routing.Replica) (routing.Target, error) {
	if rejection := e.reauthorize(); rejection != nil {
		e.report(routing.OutcomeWithdrawn)
		return routing.Target{}, rejection
	}
	target, err := e.handler.snapshot.Load().Admit(&e.parsed.request, assigned)
	if err != nil {
		e.withdraw(err)
		return routing.Target{}, errReassign
	}
	return target, nil
}

// withdraw tells the matcher that the request was not sent to the assigned replica, for what forbids it now.
func (e *exchange) withdraw(reason error) {
	e.report(routing.OutcomeWithdrawn)
	e.handler.Attempts.add(e.parsed.upstream.Backend, outcomeWithdrawn)
	logrus.WithError(reason).WithField("replica", e.replicaID).Debug("assignment withdrawn")
}

// holdPrompt makes held the prompt that the step of the assignment reads: at once if it was read before, nothing if the
// assignment has no such step. An error means that the assignment's tickets have been reported.
func (e *exchange) holdPrompt(ctx context.Context, step *routing.PrefillStep, upstream replica.UpstreamRequest) error {
	if e.held != nil && e.held.step == step {
		return nil
	}
	e.dropHeld(ctx)
	if step == nil {
		return nil
	}
	handle, err := e.prefill(ctx, step, upstream)
	if err != nil {
		e.report(routing.OutcomeCancelled)
		return err
	}
	e.held = &heldPrompt{handle: handle, step: step}
	if !e.handler.matcher.Prefilled(ctx, step) {
		e.handler.Attempts.add(upstream.Backend, outcomeWithdrawn)
		return errReassign
	}
	return nil
}

// heldStep is the step whose prompt is held, or nil.
func (e *exchange) heldStep() *routing.PrefillStep {
	if e.held == nil {
		return nil
	}
	return e.held.step
}

// dropHeld frees the memory of the prompt that is held, if any.
func (e *exchange) dropHeld(ctx context.Context) {
	if e.held == nil {
		return
	}
	e.handler.Attempts.add(e.parsed.upstream.Backend, outcomePromptUnused)
	e.free(ctx, e.held.handle)
	e.held = nil
}

// prefill has the prompt read and returns the handle of its memory; the matcher is still to be told (Matcher.Prefilled). Where
// that fails nothing has run, so the request may go on without. The first time that a replica reads the prompt is free; any
// further one, and what a replica turned away or left unanswered, counts against the retry budget like a further attempt.
func (e *exchange) prefill(ctx context.Context, step *routing.PrefillStep, upstream replica.UpstreamRequest) (*replica.KVHandle, error) {
	report := func(outcome routing.Outcome) { e.handler.matcher.Report(step.Ticket, outcome) }
	target, err := e.handler.snapshot.Load().AdmitPrefill(&e.parsed.request, step.Replica)
	if err != nil {
		report(routing.OutcomeWithdrawn)
		return nil, errReassign
	}
	if e.prefilled && !e.mayRetryWithinBudget() {
		report(routing.OutcomeCancelled)
		return nil, apierror.NewRetryable(apierror.NotExecuted, budgetRetryAfter)
	}
	bounded, cancel := prefillContext(ctx, max(step.Timeout, minPrefillTime))
	defer cancel()
	handle, verdict := e.handler.forwarder.Prefill(bounded, target, upstream)
	e.handler.Attempts.add(upstream.Backend, prefillOutcome(verdict))
	if ctx.Err() != nil {
		if handle != nil {
			e.handler.Attempts.add(upstream.Backend, outcomePromptUnused)
			e.free(ctx, handle)
		}
		report(routing.OutcomeCancelled)
		return nil, e.deadlineError(true)
	}
	if verdict == replica.VerdictAnswered {
		e.prefilled = true
		return handle, nil
	}
	if bounded.Err() != nil {
		report(routing.OutcomeCancelled)
		return nil, e.afterPrefillTimeout()
	}
	report(outcomeByVerdict[verdict])
	return nil, e.afterPrefillFailure(step, verdict)
}

// prefillContext ends after the time-out, or shortly after its parent: an answer that is on its way then still names the handle, so
// that its memory can be freed.
func prefillContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(parent), timeout)
	stop := context.AfterFunc(parent, func() { time.AfterFunc(prefillGrace, cancel) })
	return bounded, func() {
		stop()
		cancel()
	}
}

// afterPrefillTimeout goes on without the step if the prompt is short enough to be read beside running streams. A long one is
// rejected: it would hold all of them up, and nothing has run.
func (e *exchange) afterPrefillTimeout() error {
	if e.parsed.request.PromptTokens > routing.MaxTokensBesideStreams || !e.mayRetryWithinBudget() {
		return apierror.NewRetryable(apierror.Overloaded, budgetRetryAfter)
	}
	e.parsed.request.Unsplit = true
	return errReassign
}

// afterPrefillFailure goes on with another prefill replica, and after a second failure without the step.
func (e *exchange) afterPrefillFailure(step *routing.PrefillStep, verdict replica.Verdict) error {
	if verdict != replica.VerdictNotSent && !e.mayRetryWithinBudget() {
		return apierror.NewRetryable(apierror.NotExecuted, budgetRetryAfter)
	}
	e.prefillFailures++
	e.parsed.request.ExcludedReplicas[step.Replica.ID] = true
	e.parsed.request.Unsplit = e.prefillFailures >= maxPrefillFailures
	return errReassign
}

// prefillOutcome is how a prefill step is counted.
func prefillOutcome(verdict replica.Verdict) string { return "prefill_" + verdictNames[verdict] }

// mayRetryWithinBudget takes one retry of the request's backend from the budget, if there is one.
func (e *exchange) mayRetryWithinBudget() bool {
	budget := e.handler.retryBudgets.ForBackend(e.parsed.request.Backend)
	return budget.Allow(e.handler.clock(), e.handler.snapshot.Load().DataPlanes)
}

// free frees a handle that will not be taken, without waiting for it.
func (e *exchange) free(ctx context.Context, handle *replica.KVHandle) {
	forwarder := e.handler.forwarder
	go func() {
		if err := forwarder.ReleaseHandle(ctx, handle); err != nil {
			logrus.WithError(err).Debug("handle not freed")
		}
	}()
}
