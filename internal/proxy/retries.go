package proxy

import (
	"ferryspar/internal/apierror"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

// maxUnsentAttempts is how many attempts of one request may fail before a byte is written. They do not use up its retryCount.
const maxUnsentAttempts = 4

// outcomeByVerdict maps the verdict on an attempt without a valid response to the outcome that is reported to the matcher.
var outcomeByVerdict = map[replica.Verdict]routing.Outcome{
	replica.VerdictRejected:  routing.OutcomeFull,
	replica.VerdictNotLoaded: routing.OutcomeModelMissing,
	replica.VerdictReplaced:  routing.OutcomeShuttingDown,
	replica.VerdictNotSent:   routing.OutcomeUnreachable,
	replica.VerdictUnknown:   routing.OutcomeTruncated,
	replica.VerdictReset:     routing.OutcomeConnectionReset,
}

// retryOrFail returns errRetry if the request may be sent once more, else the error to answer the client with. notExecuted is
// set if the last attempt is proven not to have been executed.
func (e *exchange) retryOrFail(notExecuted bool) error {
	if !notExecuted && !e.parsed.route.IsIdempotent() {
		return apierror.New(apierror.ReplicaFailed, "")
	}
	if e.canRetry() {
		return errRetry
	}
	if notExecuted && !e.mayHaveExecuted {
		return apierror.NewRetryAtOnce(apierror.NotExecuted)
	}
	return apierror.New(apierror.ReplicaFailed, "")
}

// canRetry reports whether the route's retry count and maxUnsentAttempts allow one more attempt.
func (e *exchange) canRetry() bool {
	return e.attempts < max(e.parsed.route.RetryCount, 1) && e.unsentAttempts < maxUnsentAttempts
}

// deadlineError returns the error for a request whose deadline has passed: NotExecuted only if no attempt may have been executed.
func (e *exchange) deadlineError(notExecuted bool) *apierror.Error {
	if notExecuted && !e.mayHaveExecuted {
		return apierror.NewRetryAtOnce(apierror.NotExecuted)
	}
	return apierror.New(apierror.ReplicaTimeout, "")
}

// exclude excludes the replica from further attempts, unless it still exists and no other replica serves the request. If it did not
// have the model loaded, it may have it later: the matcher sends nothing there for a while after such an answer.
func (e *exchange) exclude(id string) {
	request, snapshot := &e.parsed.request, e.handler.snapshot.Load()
	request.ExcludedReplicas[id] = true
	for _, candidate := range snapshot.Replicas {
		if candidate.Serves(request) && !request.ExcludedReplicas[candidate.ID] && !snapshot.DrainedZones[candidate.Zone] {
			return
		}
	}
	if !e.replaced {
		delete(request.ExcludedReplicas, id)
	}
}
