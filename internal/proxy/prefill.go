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
	// minPrefillTime is the minimum timeout of a prefill step.
	minPrefillTime = 100 * time.Millisecond
	// prefillGrace is how long a prefill step still waits for its response after the client has left or the deadline has passed.
	prefillGrace = 100 * time.Millisecond
	// maxPrefillFailures is the number of failed prefill steps after which a request continues without one.
	maxPrefillFailures = 2
)

// errReassign is returned if nothing that a replica could execute was sent: the request is submitted to the matcher again.
var errReassign = errors.New("request needs another assignment")

// heldPrompt is a prefilled prompt: the handle of its KV cache, and the step that computed it.
type heldPrompt struct {
	handle *replica.KVHandle
	step   *routing.PrefillStep
}

// send forwards the request to the assigned replica, after the prefill step if the assignment has one. It returns either a
// response with its verdict, or an error, which is errReassign or of package apierror.
func (e *exchange) send(ctx context.Context, assignment routing.Decision) (*http.Response, replica.Verdict, error) {
	upstream := e.parsed.upstream
	if e.headerSent {
		upstream.LastEventID = e.events.LastID
	}
	if err := e.ensurePrefilled(ctx, assignment.Prefill, upstream); err != nil {
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
		// The KV cache could not be fetched, or the request was lost: the next prefill step goes to another replica.
		e.parsed.request.ExcludedReplicas[assignment.Prefill.Replica.ID] = true
		e.freeHeldPrompt(ctx)
	}
	if verdict == replica.VerdictAnswered {
		e.held = nil
	}
	return response, verdict, nil
}

// admit checks the request against the present snapshot, API keys, configuration and the time left in a shutdown before it is sent
// to the assigned replica: these may have changed while the request waited for its assignment or its prefill step.
func (e *exchange) admit(assigned *routing.Replica) (routing.Target, error) {
	rejection := e.reauthorize()
	if rejection == nil {
		rejection = e.rejectIfCutShort()
	}
	if rejection != nil {
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

// withdraw reports to the matcher that the request was not sent because the assigned replica is no longer eligible.
func (e *exchange) withdraw(reason error) {
	e.report(routing.OutcomeWithdrawn)
	e.handler.Attempts.add(e.parsed.upstream.Backend, outcomeWithdrawn)
	logrus.WithError(reason).WithField("replica", e.replicaID).Debug("assignment withdrawn")
}

// ensurePrefilled runs the prefill step of the assignment unless its prompt is held already, and frees any other held prompt.
// The step is nil if the assignment has none. If it returns an error, the assignment's tickets have been reported.
func (e *exchange) ensurePrefilled(ctx context.Context, step *routing.PrefillStep, upstream replica.UpstreamRequest) error {
	if e.held != nil && e.held.step == step {
		return nil
	}
	e.freeHeldPrompt(ctx)
	if step == nil {
		return nil
	}
	handle, err := e.prefill(ctx, step, upstream)
	if err != nil {
		e.report(routing.OutcomeCancelled)
		return err
	}
	e.held = &heldPrompt{handle: handle, step: step}
	if !e.handler.matcher.CompletePrefill(ctx, step) {
		e.handler.Attempts.add(upstream.Backend, outcomeWithdrawn)
		return errReassign
	}
	return nil
}

// heldStep returns the prefill step whose prompt is held, or nil.
func (e *exchange) heldStep() *routing.PrefillStep {
	if e.held == nil {
		return nil
	}
	return e.held.step
}

// freeHeldPrompt frees the KV cache of the held prompt, if any.
func (e *exchange) freeHeldPrompt(ctx context.Context) {
	if e.held == nil {
		return
	}
	e.handler.Attempts.add(e.parsed.upstream.Backend, outcomePromptUnused)
	e.freeHandle(ctx, e.held.handle)
	e.held = nil
}

// prefill runs the prefill step and returns the handle of the prompt's KV cache. The caller reports success to the matcher
// (Matcher.CompletePrefill). Prefill executes nothing, so after a failure the request may continue without it. The first step is free;
// any further step, and any that a replica rejected or did not answer, counts against the retry budget like a further attempt.
func (e *exchange) prefill(ctx context.Context, step *routing.PrefillStep, upstream replica.UpstreamRequest) (*replica.KVHandle, error) {
	report := func(outcome routing.Outcome) { e.handler.matcher.Report(step.Ticket, outcome) }
	target, err := e.handler.snapshot.Load().AdmitPrefill(&e.parsed.request, step.Replica)
	if err != nil {
		report(routing.OutcomeWithdrawn)
		return nil, errReassign
	}
	if e.hasPrefilled && !e.takeRetry() {
		report(routing.OutcomeCancelled)
		return nil, apierror.NewRetryAtOnce(apierror.NotExecuted)
	}
	bounded, cancel := prefillContext(ctx, max(step.Timeout, minPrefillTime))
	defer cancel()
	handle, verdict := e.handler.forwarder.Prefill(bounded, target, upstream)
	e.handler.Attempts.add(upstream.Backend, prefillOutcome(verdict))
	if ctx.Err() != nil {
		if handle != nil {
			e.handler.Attempts.add(upstream.Backend, outcomePromptUnused)
			e.freeHandle(ctx, handle)
		}
		report(routing.OutcomeCancelled)
		return nil, e.deadlineError(true)
	}
	if verdict == replica.VerdictAnswered {
		e.hasPrefilled = true
		return handle, nil
	}
	if bounded.Err() != nil {
		report(routing.OutcomeCancelled)
		return nil, e.handlePrefillTimeout()
	}
	report(outcomeByVerdict[verdict])
	return nil, e.handlePrefillFailure(step, verdict)
}

// prefillContext returns a context that ends after the timeout, or prefillGrace after its parent: a response that is still in
// flight then names the handle, so that its KV cache can be freed.
func prefillContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(parent), timeout)
	stop := context.AfterFunc(parent, func() { time.AfterFunc(prefillGrace, cancel) })
	return bounded, func() {
		stop()
		cancel()
	}
}

// handlePrefillTimeout makes the request continue without a prefill step if its prompt is short enough to be prefilled beside
// running streams and the retry budget allows it. Otherwise the request is rejected, which is safe since nothing was executed: a
// longer prompt would delay all streams of the decode replica.
func (e *exchange) handlePrefillTimeout() error {
	if e.parsed.request.PromptTokens > routing.MaxColocatedPrefillTokens || !e.takeRetry() {
		return apierror.NewRetryAtOnce(apierror.Overloaded)
	}
	e.parsed.request.NoPrefillStep = true
	return errReassign
}

// handlePrefillFailure makes the request try another prefill replica, or none after maxPrefillFailures failures.
func (e *exchange) handlePrefillFailure(step *routing.PrefillStep, verdict replica.Verdict) error {
	if verdict != replica.VerdictNotSent && !e.takeRetry() {
		return apierror.NewRetryAtOnce(apierror.NotExecuted)
	}
	e.prefillFailures++
	e.parsed.request.ExcludedReplicas[step.Replica.ID] = true
	e.parsed.request.NoPrefillStep = e.prefillFailures >= maxPrefillFailures
	return errReassign
}

// prefillOutcome returns the outcome that a prefill step is counted under.
func prefillOutcome(verdict replica.Verdict) string { return "prefill_" + verdictNames[verdict] }

// takeRetry takes one retry from the budget of the request's backend and reports whether there was one.
func (e *exchange) takeRetry() bool {
	budget := e.handler.retryBudgets.ForBackend(e.parsed.request.Backend)
	return budget.Allow(e.handler.clock(), e.handler.snapshot.Load().DataPlaneCount)
}

// freeHandle frees an unused handle in the background.
func (e *exchange) freeHandle(ctx context.Context, handle *replica.KVHandle) {
	forwarder := e.handler.forwarder
	go func() {
		if err := forwarder.ReleaseHandle(ctx, handle); err != nil {
			logrus.WithError(err).Debug("KV cache handle not freed")
		}
	}()
}
