package proxy

import (
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

const (
	// maxUnreached is how many replicas that can't be reached are passed over for one request.
	maxUnreached = 4
	// budgetRetryAfter is when a client may try again whose request was not retried for want of a budget.
	budgetRetryAfter = 100 * time.Millisecond
	// notExecutedRetryAfter is when a client may try again whose request has not run at any replica.
	notExecutedRetryAfter = 50 * time.Millisecond
)

// outcomeByVerdict is what the matcher learns from an attempt without a response that counts.
var outcomeByVerdict = map[replica.Verdict]routing.Outcome{
	replica.VerdictRejected:  routing.OutcomeFull,
	replica.VerdictNotLoaded: routing.OutcomeModelMissing,
	replica.VerdictReplaced:  routing.OutcomeShuttingDown,
	replica.VerdictNotSent:   routing.OutcomeUnreachable,
	replica.VerdictUnknown:   routing.OutcomeTruncated,
	replica.VerdictReset:     routing.OutcomeConnectionReset,
}

// retryOrFail returns errRetry if the request may be sent once more, else what the client is answered. notExecuted says
// that the last attempt is proven not to have run.
func (e *exchange) retryOrFail(notExecuted bool) error {
	if !notExecuted && !e.parsed.route.IsIdempotent() {
		return apierror.New(apierror.ReplicaFailed, "")
	}
	if e.canRetry() {
		return errRetry
	}
	if notExecuted && !e.mayHaveRun {
		return apierror.NewRetryable(apierror.NotExecuted, notExecutedRetryAfter)
	}
	return apierror.New(apierror.ReplicaFailed, "")
}

// canRetry reports whether the route allows one more attempt.
func (e *exchange) canRetry() bool {
	return e.attempts < max(e.parsed.route.RetryCount, 1) && e.unreached < maxUnreached
}

// deadlineError is the answer at the deadline: the proof that nothing has run, or none where something may have.
func (e *exchange) deadlineError(notExecuted bool) *apierror.Error {
	if notExecuted && !e.mayHaveRun {
		return apierror.NewRetryable(apierror.NotExecuted, notExecutedRetryAfter)
	}
	return apierror.New(apierror.ReplicaTimeout, "")
}

// exclude keeps the replica out of further attempts, unless no other replica serves the request and this one has the model
// loaded.
func (e *exchange) exclude(id string) {
	request, snapshot := &e.parsed.request, e.handler.snapshot.Load()
	request.ExcludedReplicas[id] = true
	for _, candidate := range snapshot.Replicas {
		if candidate.Serves(request) && !request.ExcludedReplicas[candidate.ID] && !snapshot.DrainedZones[candidate.Zone] {
			return
		}
	}
	if !e.notLoaded {
		delete(request.ExcludedReplicas, id)
	}
}
