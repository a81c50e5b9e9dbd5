package proxy

import (
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/replica"
)

const (
	// sendPeriod is how long after the stop signal requests may be sent to replicas although the end of the grace period may cut
	// their responses. Clients take a cut response to a later request for a lost one.
	sendPeriod = 3 * time.Second
	// maxSignalDelay is the part of sendPeriod that may pass between the stop signal and the start of the shutdown.
	maxSignalDelay = 300 * time.Millisecond
)

// shutdown is the grace period of a data plane that is shutting down.
type shutdown struct {
	startedAt time.Time
	// closesAt is when the connections of unfinished requests are closed.
	closesAt time.Time
}

// allows reports whether a request with the deadline may be sent to a replica now. After sendPeriod it may only if its deadline
// ends it before closesAt: no response then depends on how long responses usually take. Until then both answers are allowed, and the
// mean duration of responses to such requests decides, 0 if it is unknown: a response that would be cut is better had elsewhere.
func (s *shutdown) allows(now, deadline time.Time, mean time.Duration) bool {
	if !deadline.After(s.closesAt) {
		return true
	}
	if now.Sub(s.startedAt) > sendPeriod-maxSignalDelay {
		return false
	}
	return mean <= s.closesAt.Sub(now)
}

// rejectIfCutShort returns an error if the data plane is shutting down and the request may not be sent to a replica any more. A
// stream that the client has begun to receive goes on as far as it can.
func (e *exchange) rejectIfCutShort() *apierror.Error {
	ending := e.handler.shutdown.Load()
	request := &e.parsed.request
	if ending == nil || e.headerSent {
		return nil
	}
	if ending.allows(e.handler.clock(), request.Deadline, e.handler.completions.mean(request)) {
		return nil
	}
	if !e.mayHaveExecuted {
		e.writer.Header().Set(replica.HeaderNotExecuted, "1")
	}
	return apierror.NewRetryAtOnce(apierror.ShuttingDown)
}
