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

// errUnsplit says that the prompt was not read apart and that nothing has run: the request is assigned anew.
var errUnsplit = errors.New("prompt not read apart")

// send sends the attempt: the prompt to the prefill replica first, if the assignment has one. The error, if any, is errUnsplit
// or of package apierror; there is no response then.
func (e *exchange) send(ctx context.Context, assignment routing.Decision) (*http.Response, replica.Verdict, error) {
	upstream := e.parsed.upstream
	if e.headerSent {
		upstream.LastEventID = e.events.LastID
	}
	target := assignment.Replica
	if assignment.Prefill == nil {
		response, verdict := e.handler.forwarder.Send(ctx, target.Address, target.ID, upstream)
		return response, verdict, nil
	}
	handle, err := e.prefill(ctx, assignment.Prefill, upstream)
	if err != nil {
		e.report(routing.OutcomeCancelled)
		return nil, replica.VerdictUnknown, err
	}
	response, verdict := e.handler.forwarder.SendFrom(ctx, target.Address, target.ID, upstream, handle)
	if verdict != replica.VerdictAnswered {
		e.free(ctx, handle)
		// Whether its memory could not be had or the request was lost on the way, another replica reads the prompt next.
		e.parsed.request.ExcludedReplicas[assignment.Prefill.Replica.ID] = true
	}
	return response, verdict, nil
}

// prefill has the prompt read and returns the handle of its memory. Where that fails nothing has run, so the request may go on
// without. The first time that a replica reads the prompt is free; any further one, and what a replica turned away or left
// unanswered, counts against the retry budget like a further attempt.
func (e *exchange) prefill(ctx context.Context, step *routing.PrefillStep, upstream replica.UpstreamRequest) (*replica.Handle, error) {
	report := func(outcome routing.Outcome) { e.handler.matcher.Report(step.Ticket, outcome) }
	if e.prefilled && !e.mayRetryWithinBudget() {
		report(routing.OutcomeCancelled)
		return nil, apierror.NewRetryable(apierror.NotExecuted, budgetRetryAfter)
	}
	bounded, cancel := prefillContext(ctx, max(step.Timeout, minPrefillTime))
	defer cancel()
	handle, verdict := e.handler.forwarder.Prefill(bounded, step.Replica.Address, step.Replica.ID, upstream)
	e.handler.Attempts.add(upstream.Backend, prefillOutcome(verdict))
	if ctx.Err() != nil {
		if handle != nil {
			e.free(ctx, handle)
		}
		report(routing.OutcomeCancelled)
		return nil, e.deadlineError(true)
	}
	if verdict == replica.VerdictAnswered {
		e.prefilled = true
		report(routing.OutcomePrefilled)
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
	return errUnsplit
}

// afterPrefillFailure goes on with another prefill replica, and after a second failure without the step.
func (e *exchange) afterPrefillFailure(step *routing.PrefillStep, verdict replica.Verdict) error {
	if verdict != replica.VerdictNotSent && !e.mayRetryWithinBudget() {
		return apierror.NewRetryable(apierror.NotExecuted, budgetRetryAfter)
	}
	e.prefillFailures++
	e.parsed.request.ExcludedReplicas[step.Replica.ID] = true
	e.parsed.request.Unsplit = e.prefillFailures >= maxPrefillFailures
	return errUnsplit
}

// prefillOutcome is how a prefill step is counted.
func prefillOutcome(verdict replica.Verdict) string { return "prefill_" + verdictNames[verdict] }

// mayRetryWithinBudget takes one retry of the request's backend from the budget, if there is one.
func (e *exchange) mayRetryWithinBudget() bool {
	budget := e.handler.retryBudgets.ForBackend(e.parsed.request.Backend)
	return budget.Allow(e.handler.clock(), e.handler.snapshot.Load().DataPlanes)
}

// free frees a handle that will not be taken, without waiting for it.
func (e *exchange) free(ctx context.Context, handle *replica.Handle) {
	forwarder := e.handler.forwarder
	go func() {
		if err := forwarder.Free(ctx, handle); err != nil {
			logrus.WithError(err).Debug("handle not freed")
		}
	}()
}
