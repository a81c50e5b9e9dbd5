package emulator

import (
	"fmt"
	"time"

	"ferryspar/internal/routing"
)

// call is a request as its client sees it, over all of its attempts.
type call struct {
	world        *World
	request      *Request
	class        *Class
	startedAt    time.Time
	deadline     time.Time
	attemptsMade int
	// received is the ID of the last event received, or 0 before the first.
	received     int
	firstEventAt time.Time
	lastEventAt  time.Time
	// maxEventGap is the longest gap between two consecutive events.
	maxEventGap    time.Duration
	lastActivityAt time.Time
	// fallbackOutcome is the outcome of the call if no further attempt is made.
	fallbackOutcome string
	// attempt is the current attempt, or nil.
	attempt *attempt
	ended   bool
	endedAt time.Time
	// interrupted is set while a call that the last loss interrupted has not yet been forwarded to a
	// surviving replica.
	interrupted bool
	// waitMs is how long the first forwarded attempt was queued at its edge.
	waitMs float64
	// notLoaded is set if no replica had the model loaded when the request was sent.
	notLoaded bool
	outcome   string
}

const (
	// outcomeServed means that the client received every event.
	outcomeServed = "served"
	// outcomeRejected means that the last attempt was rejected before execution.
	outcomeRejected = "refused"
	// outcomeBroken means that the response was truncated and the request may not be retried.
	outcomeBroken = "broken"
	// outcomeSilent means that no data plane responded in time.
	outcomeSilent = "silent"
	// outcomeExpired means that the client's timeout expired.
	outcomeExpired = "expired"
)

const (
	// clientConnectTimeout is how long a client waits for a connection to a dead edge.
	clientConnectTimeout = time.Second
	// resumeDelay is how long a client waits before it resumes a truncated stream.
	resumeDelay = 50 * time.Millisecond
)

// targetLatency returns the class's target for the time to first token.
func (c *call) targetLatency() time.Duration { return milliseconds(c.class.LatencyTargetMs) }

// silenceTimeout returns how long the client waits for the next event before it abandons the attempt.
func (c *call) silenceTimeout() time.Duration {
	return max(2*time.Second, 4*c.targetLatency(), 8*milliseconds(c.class.TokenGapMs))
}

// start starts the request at its arrival time.
func (c *call) start() {
	c.startedAt = c.world.now()
	c.deadline = c.startedAt.Add(milliseconds(c.class.TimeoutMs))
	c.fallbackOutcome = outcomeExpired
	c.notLoaded = !c.world.isLoadedAnywhere(c.request.Model)
	c.world.events.At(c.deadline, func() { c.finish(outcomeExpired) })
	c.sendAttempt()
}

// sendAttempt selects an edge and sends the request to it, or finishes the call if the class's attempts
// are exhausted.
func (c *call) sendAttempt() {
	if c.ended {
		return
	}
	if c.attemptsMade >= c.class.Attempts {
		c.finish(c.fallbackOutcome)
		return
	}
	c.attemptsMade++
	attemptNumber := c.attemptsMade
	chosen := c.world.chooseEdge(c.request.Zone, c.request.Draw, attemptNumber)
	if chosen == nil || !chosen.alive {
		c.fallbackOutcome = outcomeSilent
		c.world.events.After(clientConnectTimeout, func() { c.retryIfCurrent(attemptNumber) })
		return
	}
	c.lastActivityAt = c.world.now()
	clientAttempt := &attempt{call: c, edge: chosen, incarnation: chosen.incarnation, number: attemptNumber, lastID: c.received}
	c.attempt = clientAttempt
	chosen.afterLink(c.request.Zone, func() {
		if clientAttempt.isOver() {
			return
		}
		clientAttempt.request = c.routingRequest(attemptNumber)
		chosen.accept(clientAttempt)
	})
	c.watchSilence(attemptNumber, c.silenceTimeout())
}

// routingRequest returns the request as its edge's matcher sees it, with the current time as arrival time.
func (c *call) routingRequest(attemptNumber int) routing.Request {
	now := c.world.now()
	return routing.Request{
		AttemptID:        fmt.Sprintf("%d.%d", c.request.Number, attemptNumber),
		Backend:          backendName,
		Model:            c.request.Model,
		Parts:            c.request.Parts,
		PrefixHashes:     routing.HashPrefixes(c.request.Parts),
		PromptTokens:     c.request.Prompt,
		OutputTokens:     float64(c.request.Output),
		ArrivedAt:        now,
		Deadline:         c.deadline,
		LatencyTarget:    c.targetLatency(),
		Priority:         c.class.Priority,
		Route:            c.class.Name,
		Idempotent:       c.class.Resumable,
		AllowedRegions:   c.class.AllowedRegions,
		ExcludedReplicas: map[string]bool{},
	}
}

// isStale reports whether the call has ended or a later attempt has replaced the given one.
func (c *call) isStale(attemptNumber int) bool { return c.ended || c.attemptsMade != attemptNumber }

// retryIfCurrent makes the next attempt if the given attempt is still the latest.
func (c *call) retryIfCurrent(attemptNumber int) {
	if !c.isStale(attemptNumber) {
		c.sendAttempt()
	}
}

// watchSilence abandons the attempt once nothing has been received for the silence timeout. Only
// resumable classes retry.
func (c *call) watchSilence(attemptNumber int, wait time.Duration) {
	c.world.events.After(wait, func() {
		if c.isStale(attemptNumber) || c.attempt == nil {
			return
		}
		if remaining := c.silenceTimeout() - c.world.now().Sub(c.lastActivityAt); remaining > 0 {
			c.watchSilence(attemptNumber, remaining)
			return
		}
		c.fallbackOutcome = outcomeSilent
		c.abandonAttempt()
		if !c.class.Resumable {
			c.finish(outcomeSilent)
			return
		}
		c.sendAttempt()
	})
}

// abandonAttempt clears the current attempt and cancels it at its edge.
func (c *call) abandonAttempt() {
	if clientAttempt := c.attempt; clientAttempt != nil {
		c.attempt = nil
		clientAttempt.edge.afterLink(c.request.Zone, clientAttempt.cancel)
	}
}

// receiveEvent handles an event of the response. It records a violation unless event IDs are consecutive,
// also across resumptions.
func (c *call) receiveEvent(attemptNumber, id int) {
	if c.isStale(attemptNumber) || c.attempt == nil {
		return
	}
	now := c.world.now()
	if id != c.received+1 {
		c.world.recordViolation("request %d of class %s: event %d after event %d", c.request.Number, c.class.Name, id, c.received)
	}
	if c.received == 0 {
		c.firstEventAt = now
	} else {
		c.maxEventGap = max(c.maxEventGap, now.Sub(c.lastEventAt))
	}
	c.received = id
	c.lastEventAt = now
	c.lastActivityAt = now
	if id == c.request.Output {
		c.attempt = nil
		c.finish(outcomeServed)
	}
}

// onRejected retries after the wait that the rejection asks for, but at most after a third of the time
// remaining.
func (c *call) onRejected(attemptNumber int, wait time.Duration) {
	if c.isStale(attemptNumber) {
		return
	}
	c.attempt, c.fallbackOutcome = nil, outcomeRejected
	c.world.events.After(min(wait, c.deadline.Sub(c.world.now())/3), func() { c.retryIfCurrent(attemptNumber) })
}

// onTruncated resumes a truncated response if the class is resumable, and ends the call otherwise.
func (c *call) onTruncated(attemptNumber int) {
	if c.isStale(attemptNumber) {
		return
	}
	c.attempt, c.fallbackOutcome = nil, outcomeBroken
	if !c.class.Resumable {
		c.finish(outcomeBroken)
		return
	}
	c.world.events.After(resumeDelay, func() { c.retryIfCurrent(attemptNumber) })
}

// finish ends the call with the given outcome and notifies the observer. Later calls have no effect.
func (c *call) finish(outcome string) {
	if c.ended {
		return
	}
	c.ended = true
	c.endedAt = c.world.now()
	c.outcome = outcome
	c.abandonAttempt()
	c.world.observer.requestEnded(c)
}

// inTime reports whether the call was served with its first token within the latency target and no gap
// between tokens longer than the class allows.
func (c *call) inTime() bool {
	return c.outcome == outcomeServed && c.firstEventAt.Sub(c.startedAt) <= c.targetLatency() &&
		c.maxEventGap <= milliseconds(c.class.TokenGapMs)
}

// firstTokenMs returns the time to first token in milliseconds, or 0 if no token was received.
func (c *call) firstTokenMs() float64 {
	if c.received == 0 {
		return 0
	}
	return inMilliseconds(c.firstEventAt.Sub(c.startedAt))
}
