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

// exchange is one request of a client, from its parsing to the end of the response. It belongs to one goroutine.
type exchange struct {
	handler *Handler
	parsed  *parsedRequest
	writer  http.ResponseWriter

	// ticket stands for the attempt in progress, and replicaID is the replica it goes to.
	ticket    *routing.Ticket
	replicaID string
	// attempts counts those that may have reached a replica, unreached those that didn't.
	attempts  int
	unreached int
	// prefillFailures counts the replicas that failed to read the prompt.
	prefillFailures int
	// prefilled says that a replica has read the prompt.
	prefilled bool
	// held, if set, is the prompt that was read and that no replica has continued from yet.
	held *heldPrompt
	// retryGranted says that the retry budget has allowed the next attempt.
	retryGranted bool
	// mayHaveRun says that an attempt may have run, so that the client must not be answered that none has.
	mayHaveRun bool
	// notLoaded says that the last replica didn't have the model loaded.
	notLoaded bool

	// headerSent says that the client has the head of the response, so that it can only go on or be aborted.
	headerSent bool
	// counted says that the request counts among those that its tenant has had run.
	counted bool
	// events is where the stream is, for one that may be resumed at another replica.
	events replica.EventBuffer
	timing timing
	// failure is what the client was answered, if not a replica's response.
	failure *apierror.Error
}

// timing is when the parts of a response came.
type timing struct {
	sentAt      time.Time
	firstByteAt time.Time
	lastByteAt  time.Time
	longestGap  time.Duration
}

// errRetry says that an attempt has failed and that another replica is to be tried.
var errRetry = errors.New("retry at another replica")

// run makes attempts until the client has a response or an error. It panics with http.ErrAbortHandler where a response
// that has begun can't be completed.
func (e *exchange) run(ctx context.Context) {
	defer e.dropHeld(ctx)
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

// awaitAssignment waits until the matcher assigns a replica, then checks the key and the retry budget.
func (e *exchange) awaitAssignment(ctx context.Context) (routing.Decision, *apierror.Error) {
	handler := e.handler
	request := e.parsed.request
	request.Resumed = e.headerSent
	request.Held = e.heldStep()
	assignment := handler.matcher.Submit(ctx, &request)
	if assignment.Error != nil {
		return assignment, assignment.Error
	}
	e.ticket = assignment.Ticket
	if rejection := e.reauthorize(); rejection != nil {
		e.report(routing.OutcomeCancelled)
		return assignment, rejection
	}
	if e.attempts > 0 && !e.retryGranted && !e.mayRetryWithinBudget() {
		e.report(routing.OutcomeCancelled)
		return assignment, apierror.NewRetryable(apierror.NotExecuted, budgetRetryAfter)
	}
	e.retryGranted = e.attempts > 0
	return assignment, nil
}

// attempt sends the request to the replica and passes its response on. The error is errRetry, errReassign or of package
// apierror.
func (e *exchange) attempt(ctx context.Context, assignment routing.Decision) error {
	e.replicaID, e.timing.sentAt = assignment.Replica.ID, e.handler.clock()
	response, verdict, err := e.send(ctx, assignment)
	if err != nil {
		return err
	}
	e.retryGranted = false
	e.handler.Attempts.add(e.parsed.upstream.Backend, verdictNames[verdict])
	if verdict == replica.VerdictNotSent {
		e.unreached++
	} else {
		e.attempts++
	}
	e.notLoaded = verdict == replica.VerdictNotLoaded || verdict == replica.VerdictReplaced
	if verdict == replica.VerdictAnswered {
		return e.copyResponse(ctx, response)
	}
	notExecuted := verdict.NotExecuted()
	if ctx.Err() != nil {
		e.report(routing.OutcomeCancelled)
		return e.deadlineError(notExecuted)
	}
	e.report(attemptOutcome(verdict, assignment))
	e.mayHaveRun = e.mayHaveRun || !notExecuted
	return e.retryOrFail(notExecuted)
}

// attemptOutcome is what the matcher learns from an attempt without a response that counts. A rejection of an attempt that was
// to continue from a handle may be for want of the handle's memory.
func attemptOutcome(verdict replica.Verdict, assignment routing.Decision) routing.Outcome {
	if verdict == replica.VerdictRejected && assignment.Prefill != nil {
		return routing.OutcomeHandleGone
	}
	return outcomeByVerdict[verdict]
}

// countBegun counts the request, once, when a replica has begun to run it.
func (e *exchange) countBegun() {
	tenant := e.parsed.upstream.Tenant
	if e.counted || tenant == "" || e.handler.Usage == nil {
		return
	}
	e.counted = true
	e.handler.Usage.RecordRequest(tenant)
}

// report reports to the matcher how the attempt goes.
func (e *exchange) report(outcome routing.Outcome) { e.handler.matcher.Report(e.ticket, outcome) }

// fail answers the client with an error, or aborts a response that has begun.
func (e *exchange) fail(failure *apierror.Error) {
	e.failure = failure
	if e.headerSent {
		panic(http.ErrAbortHandler)
	}
	if e.mayHaveRun && failure.Kind.GuaranteesNotExecuted() {
		failure = apierror.New(apierror.ReplicaFailed, "")
	}
	e.handler.Rejections.add(failure.Kind)
	apierror.Write(e.writer, failure)
}
