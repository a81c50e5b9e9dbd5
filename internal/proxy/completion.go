package proxy

import (
	"sync"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

const (
	// meanGain and deviationGain are the weights of a new sample in a durationEstimate, and deviationFactor is how many mean
	// deviations its upper bound lies above the mean (RFC 6298).
	meanGain        = 0.125
	deviationGain   = 0.25
	deviationFactor = 4
	// earlyShare is the share of the grace period that is left while it counts as early.
	earlyShare = 5.0 / 8
	// maxEstimatedRoutes limits the number of routes with estimates; one more discards all of them.
	maxEstimatedRoutes = 1024
)

// durationEstimate is a moving mean of durations with its mean deviation. The zero value has no samples.
type durationEstimate struct {
	mean, deviation time.Duration
	known           bool
}

func (d *durationEstimate) observe(sample time.Duration) {
	if !d.known {
		*d = durationEstimate{mean: sample, deviation: sample / 2, known: true}
		return
	}
	difference := sample - d.mean
	d.mean += time.Duration(meanGain * float64(difference))
	d.deviation += time.Duration(deviationGain * float64(difference.Abs()-d.deviation))
}

// upperBound returns a duration that few samples exceed.
func (d *durationEstimate) upperBound() time.Duration { return d.mean + deviationFactor*d.deviation }

// routeTimes estimates how long the responses of a route take: to the first byte, and from there on for each token.
type routeTimes struct {
	firstByte durationEstimate
	perToken  durationEstimate
}

// completionTimes estimates how long replicas take for whole responses. It is safe for concurrent use.
type completionTimes struct {
	lock   sync.Mutex
	routes map[string]*routeTimes
}

// observe learns from a response that one replica has completed.
func (c *completionTimes) observe(request *routing.Request, times timing) {
	c.lock.Lock()
	defer c.lock.Unlock()
	learned := c.routes[request.Route]
	if learned == nil {
		if len(c.routes) >= maxEstimatedRoutes || c.routes == nil {
			c.routes = map[string]*routeTimes{}
		}
		learned = &routeTimes{}
		c.routes[request.Route] = learned
	}
	learned.firstByte.observe(times.firstByteAt.Sub(times.sentAt))
	learned.perToken.observe(times.lastByteAt.Sub(times.firstByteAt) / time.Duration(max(request.OutputTokens, 1)))
}

// completionEstimate is how long the response to a request takes: the mean, and a time that few responses exceed.
type completionEstimate struct{ mean, upperBound time.Duration }

// estimate returns the estimate for a request. known is false if no response of the route was complete yet.
func (c *completionTimes) estimate(request *routing.Request) (estimate completionEstimate, known bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	learned := c.routes[request.Route]
	if learned == nil {
		return completionEstimate{}, false
	}
	tokens := max(request.OutputTokens, 1)
	return completionEstimate{
		mean:       learned.firstByte.mean + time.Duration(float64(learned.perToken.mean)*tokens),
		upperBound: learned.firstByte.upperBound() + time.Duration(float64(learned.perToken.upperBound())*tokens),
	}, true
}

// shutdown is the grace period of a data plane that is shutting down.
type shutdown struct {
	startedAt time.Time
	// closesAt is when the connections of unfinished requests are closed.
	closesAt time.Time
}

// allows reports whether a response that begins now is likely enough to be complete in time. Early in the grace period the
// expected time decides, since a rejected client has to find another data plane; later the response must fit with its error.
func (s *shutdown) allows(now time.Time, estimate completionEstimate, known bool) bool {
	remaining := s.closesAt.Sub(now)
	isEarly := float64(remaining) >= earlyShare*float64(s.closesAt.Sub(s.startedAt))
	if isEarly {
		return !known || estimate.mean <= remaining
	}
	return known && estimate.upperBound <= remaining
}

// learnCompletion learns from a complete response that came from one replica.
func (e *exchange) learnCompletion() {
	if e.attempts == 1 && !e.timing.firstByteAt.IsZero() {
		e.handler.completions.observe(&e.parsed.request, e.timing)
	}
}

// rejectIfCutShort returns an error if the data plane is shutting down and a response that begins now may not be complete when
// it closes its connections. A stream that the client has begun to receive goes on as far as it can.
func (e *exchange) rejectIfCutShort() *apierror.Error {
	ending := e.handler.shutdown.Load()
	request := &e.parsed.request
	if ending == nil || e.headerSent || request.Deadline.Before(ending.closesAt) {
		return nil
	}
	estimate, known := e.handler.completions.estimate(request)
	if ending.allows(e.handler.clock(), estimate, known) {
		return nil
	}
	if !e.mayHaveExecuted {
		e.writer.Header().Set(replica.HeaderNotExecuted, "1")
	}
	return apierror.NewRetryable(apierror.ShuttingDown, notExecutedRetryAfter)
}
