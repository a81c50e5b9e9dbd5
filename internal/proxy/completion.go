package proxy

import (
	"sync"
	"time"

	"ferryspar/internal/routing"
)

const (
	// meanGain is the weight of a new sample in a mean of durations (RFC 6298).
	meanGain = 0.125
	// maxEstimatedRoutes limits the number of routes with estimates; one more discards all of them.
	maxEstimatedRoutes = 1024
)

// routeTimes holds the moving means of how long the responses of a route take: to the first byte, and from there on for each token
// that the request allows.
type routeTimes struct {
	firstByte time.Duration
	perToken  time.Duration
}

func (r *routeTimes) observe(firstByte, perToken time.Duration) {
	r.firstByte += time.Duration(meanGain * float64(firstByte-r.firstByte))
	r.perToken += time.Duration(meanGain * float64(perToken-r.perToken))
}

// completionTimes estimates how long replicas take for whole responses. The next response may take any other time, whatever the
// request states, so an estimate may only decide between actions that are both allowed. It is safe for concurrent use.
type completionTimes struct {
	lock   sync.Mutex
	routes map[string]*routeTimes
}

// observe learns from a response that one replica has completed.
func (c *completionTimes) observe(request *routing.Request, times timing) {
	firstByte := times.firstByteAt.Sub(times.sentAt)
	perToken := times.lastByteAt.Sub(times.firstByteAt) / time.Duration(max(request.OutputTokens, 1))
	c.lock.Lock()
	defer c.lock.Unlock()
	if learned := c.routes[request.Route]; learned != nil {
		learned.observe(firstByte, perToken)
		return
	}
	if len(c.routes) >= maxEstimatedRoutes || c.routes == nil {
		c.routes = map[string]*routeTimes{}
	}
	c.routes[request.Route] = &routeTimes{firstByte: firstByte, perToken: perToken}
}

// mean returns the mean duration of the response to such a request, or 0 if no response of the route was complete yet.
func (c *completionTimes) mean(request *routing.Request) time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	learned := c.routes[request.Route]
	if learned == nil {
		return 0
	}
	return learned.firstByte + time.Duration(float64(learned.perToken)*max(request.OutputTokens, 1))
}

// learnCompletion learns from a complete response that came from one replica.
func (e *exchange) learnCompletion() {
	if e.attempts == 1 && !e.timing.firstByteAt.IsZero() {
		e.handler.completions.observe(&e.parsed.request, e.timing)
	}
}
