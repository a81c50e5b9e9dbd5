package routing

import (
	"time"

	"ferryspar/internal/apierror"
)

// maxRetryAfterDivisor divides a client's remaining time into the longest Retry-After that it honours (protocol, "Answers").
const maxRetryAfterDivisor = 3

// latestStart returns until when a request may wait: from then on its remaining time is too short for its remaining work.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.remainingWork) }

// rejectIfExpired rejects an undecided request that can no longer be served in its remaining time, and every one while the data plane
// is shutting down.
func (m *Matcher) rejectIfExpired(request *Request, now time.Time) {
	request.remainingWork = m.remainingWork(request, now)
	if m.draining.Load() || !now.Before(request.latestStart()) {
		m.reject(request, now)
	}
}

// reject rejects a request. The error states the reason: the data plane is shutting down, no replica has the model loaded, or all that
// have it are full.
func (m *Matcher) reject(request *Request, now time.Time) {
	kind := apierror.Overloaded
	switch {
	case m.draining.Load():
		kind = apierror.ShuttingDown
	case request.modelNotLoaded:
		kind = apierror.ModelNotLoaded
	}
	m.resolve(request, Decision{Error: apierror.NewRetryable(kind, m.retryAfter(request, now))})
}

// retryAfter returns when a rejected request is expected to find a slot, within what clients honour.
func (m *Matcher) retryAfter(request *Request, now time.Time) time.Duration {
	longest := request.Deadline.Sub(now) / maxRetryAfterDivisor
	return max(min(m.slotExpectedAfter(request, now), longest), apierror.MinRetryAfter)
}

// slotExpectedAfter returns the time until a slot for the request is expected: once its model is loaded, once those ahead of it are
// served, or, if that is not known, once one request like it has run. Other data planes have slots while this one shuts down.
func (m *Matcher) slotExpectedAfter(request *Request, now time.Time) time.Duration {
	switch {
	case m.draining.Load():
		return 0
	case request.modelNotLoaded:
		return m.remainingLoad(request, now)
	case request.expectedWait > 0:
		return request.expectedWait
	}
	return fromMs(m.expectedMs(request))
}
