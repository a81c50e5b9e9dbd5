package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

// exchange is the handling of one client request from its parsing to the end of the response. It is not safe for concurrent use.
type exchange struct {
	handler *Handler
	parsed  *parsedRequest
	writer  http.ResponseWriter

	// ticket identifies the present attempt to the matcher, replicaID is the replica that it goes to.
	ticket    *routing.Ticket
	replicaID string
	// attempts counts the attempts of which a replica may have received bytes, unsentAttempts those that wrote none.
	attempts       int
	unsentAttempts int
	// prefillFailures counts the prefill steps that failed.
	prefillFailures int
	// hasPrefilled is set once a prefill step has succeeded.
	hasPrefilled bool
	// held, if set, is the prefilled prompt from which no replica has continued yet.
	held *heldPrompt
	// retryGranted is set if the retry budget has allowed the next attempt already.
	retryGranted bool
	// mayHaveExecuted is set once an attempt may have been executed: the client must then not be told that none was.
	mayHaveExecuted bool
	// replaced is set if another replica answered at the address of the last one.
	replaced bool

	// headerSent is set once the response header was sent to the client: the response can then only be continued or aborted.
	headerSent bool
	// usageRecorded is set once the request was counted in the tenant's usage.
	usageRecorded bool
	// events tracks the position in a stream that may be resumed at another replica.
	events replica.EventBuffer
	timing timing
	// failure is the error that the client was answered with, nil for a replica's response.
	failure *apierror.Error
}

// timing holds when the last attempt was sent and when bytes of the response arrived.
type timing struct {
	sentAt      time.Time
	firstByteAt time.Time
	lastByteAt  time.Time
	longestGap  time.Duration
}

// errRetry is returned if an attempt has failed and the request is to be sent to another replica.
var errRetry = errors.New("retry at another replica")

// run makes attempts until the client has a response or an error. It panics with http.ErrAbortHandler if a response that has
// begun cannot be completed.
func (e *exchange) run(ctx context.Context) {
	defer e.freeHeldPrompt(ctx)
	for {
		assignment, rejection := e.awaitAssignment(ctx)
		if rejection != nil {
			e.fail(rejection)
			return
		}
		err := e.attempt(ctx, assignment)
		if err == nil {
			return
		}
		if errors.Is(err, errReassign) {
			continue
		}
		if !errors.Is(err, errRetry) {
			e.fail(apierror.From(err))
			return
		}
		e.exclude(assignment.Replica.ID)
	}
}

// awaitAssignment waits until the matcher assigns a replica, then checks the API key, the time left in a shutdown and the retry
// budget.
func (e *exchange) awaitAssignment(ctx context.Context) (routing.Decision, *apierror.Error) {
	handler := e.handler
	request := e.parsed.request
	request.Resumed = e.headerSent
	request.CompletedPrefill = e.heldStep()
	assignment := handler.matcher.Submit(ctx, &request)
	if assignment.Error != nil {
		return assignment, assignment.Error
	}
	e.ticket = assignment.Ticket
	rejection := e.reauthorize()
	if rejection == nil {
		rejection = e.rejectIfCutShort()
	}
	if rejection != nil {
		e.report(routing.OutcomeCancelled)
		return assignment, rejection
	}
	if e.attempts > 0 && !e.retryGranted && !e.takeRetry() {
		e.report(routing.OutcomeCancelled)
		return assignment, apierror.NewRetryAtOnce(apierror.NotExecuted)
	}
	e.retryGranted = e.attempts > 0
	return assignment, nil
}

// attempt sends the request to the assigned replica and passes its response on. The error is errRetry, errReassign or of
// package apierror.
func (e *exchange) attempt(ctx context.Context, assignment routing.Decision) error {
	e.replicaID, e.timing.sentAt = assignment.Replica.ID, e.handler.clock()
	response, verdict, err := e.send(ctx, assignment)
	if err != nil {
		return err
	}
	e.retryGranted = false
	e.handler.Attempts.add(e.parsed.upstream.Backend, verdictNames[verdict])
	if verdict == replica.VerdictNotSent {
		e.unsentAttempts++
	} else {
		e.attempts++
	}
	e.replaced = verdict == replica.VerdictReplaced
	if verdict == replica.VerdictAnswered {
		return e.copyResponse(ctx, response)
	}
	notExecuted := verdict.NotExecuted()
	if ctx.Err() != nil {
		e.report(routing.OutcomeCancelled)
		return e.deadlineError(notExecuted)
	}
	e.report(attemptOutcome(verdict, assignment))
	e.mayHaveExecuted = e.mayHaveExecuted || !notExecuted
	return e.retryOrFail(notExecuted)
}

// attemptOutcome returns the outcome that the matcher is told of an attempt without a valid response. If the attempt was to
// continue from a prefilled prompt, the replica may have rejected it because it could not fetch the prompt's KV cache.
func attemptOutcome(verdict replica.Verdict, assignment routing.Decision) routing.Outcome {
	if verdict == replica.VerdictRejected && assignment.Prefill != nil {
		return routing.OutcomeHandleGone
	}
	return outcomeByVerdict[verdict]
}

// recordUsage counts the request in its tenant's usage, at most once.
func (e *exchange) recordUsage() {
	tenant := e.parsed.upstream.Tenant
	if e.usageRecorded || tenant == "" || e.handler.Usage == nil {
		return
	}
	e.usageRecorded = true
	e.handler.Usage.RecordRequest(tenant)
}

// report reports the progress or outcome of the attempt to the matcher.
func (e *exchange) report(outcome routing.Outcome) { e.handler.matcher.Report(e.ticket, outcome) }

// fail answers the client with an error, or aborts the response if its header was sent. An error that guarantees that nothing was
// executed is replaced if an attempt may have been.
func (e *exchange) fail(failure *apierror.Error) {
	e.failure = failure
	if e.headerSent {
		panic(http.ErrAbortHandler)
	}
	if e.mayHaveExecuted && failure.Kind.GuaranteesNotExecuted() {
		failure = apierror.New(apierror.ReplicaFailed, "")
	}
	e.handler.Rejections.add(failure.Kind)
	apierror.Write(e.writer, failure)
}
