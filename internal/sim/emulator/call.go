package emulator

import (
	"fmt"
	"time"

	"ferryspar/internal/routing"
)

// call is one request as its client sees it, over all the attempts made for it.
type call struct {
	world        *World
	request      *Request
	class        *Class
	startedAt    time.Time
	deadline     time.Time
	attemptsMade int
	// received is the id of the last event received; 0 before the first.
	received     int
	firstEventAt time.Time
	lastEventAt  time.Time
	// maxEventGap is the longest gap between two events.
	maxEventGap    time.Duration
	lastActivityAt time.Time
	// fallbackOutcome is the outcome that counts if no further attempt is made.
	fallbackOutcome string
	// attempt is the one under way, or nil.
	attempt *attempt
	ended   bool
	endedAt time.Time
	// interrupted marks a call that the last loss hit and that no spared replica has taken yet.
	interrupted bool
	// waitMs is how long the first forwarded attempt waited in its edge.
	waitMs float64
	// notLoaded is set if no replica had the model loaded when the request arrived.
	notLoaded bool
	outcome   string
}

const (
	// outcomeServed: every event arrived.
	outcomeServed = "served"
	// outcomeRejected: the last attempt was rejected before it ran.
	outcomeRejected = "refused"
	// outcomeBroken: the answer was truncated and may not be requested again.
	outcomeBroken = "broken"
	// outcomeSilent: no data plane answered in time.
	outcomeSilent = "silent"
	// outcomeExpired: the client's timeout passed.
	outcomeExpired = "expired"
)

const (
	// clientConnectTimeout is how long a client waits for a connection to a dead edge.
	clientConnectTimeout = time.Second
	// resumeDelay is how long a client waits before it resumes a truncated stream.
	resumeDelay = 50 * time.Millisecond
	// clientRetryMargin is how much of the timeout a first attempt may have lost on its way before it is
	// taken for one that returns after a rejection.
	clientRetryMargin = 20 * time.Millisecond
)

// targetLatency is the class's target for the first token.
func (c *call) targetLatency() time.Duration { return milliseconds(c.class.LatencyTargetMs) }

// silenceTimeout is how long the client waits without an event before it gives the attempt up.
func (c *call) silenceTimeout() time.Duration {
	return max(2*time.Second, 4*c.targetLatency(), 8*milliseconds(c.class.TokenGapMs))
}

// start starts the request at the moment of its arrival.
func (c *call) start() {
	c.startedAt = c.world.now()
	c.deadline = c.startedAt.Add(milliseconds(c.class.TimeoutMs))
	c.fallbackOutcome = outcomeExpired
	c.notLoaded = !c.world.isLoadedAnywhere(c.request.Model)
	c.world.events.At(c.deadline, func() { c.finish(outcomeExpired) })
	c.sendAttempt()
}

// sendAttempt chooses an edge and sends the request there, unless the class's attempts are used up.
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
		clientAttempt.request = c.routingRequest(chosen, attemptNumber)
		chosen.accept(clientAttempt)
	})
	c.watchSilence(attemptNumber, c.silenceTimeout())
}

// routingRequest describes this request as the given edge's matcher sees it on arrival now.
func (c *call) routingRequest(at *edge, attemptNumber int) routing.Request {
	now := c.world.now()
	remaining := c.deadline.Sub(now)
	firstRemaining := milliseconds(c.class.TimeoutMs) - clientRetryMargin - c.world.linkDelay(at.zone, c.request.Zone)
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
		ClientRetry:      remaining < firstRemaining,
	}
}

// isStale reports whether something of the given attempt comes too late to count.
func (c *call) isStale(attemptNumber int) bool { return c.ended || c.attemptsMade != attemptNumber }

// retryIfCurrent makes the next attempt if the given attempt is still the last one.
func (c *call) retryIfCurrent(attemptNumber int) {
	if !c.isStale(attemptNumber) {
		c.sendAttempt()
	}
}

// watchSilence abandons the attempt once nothing was received for the silence timeout; only resumable
// classes retry.
func (c *call) watchSilence(attemptNumber int, wait time.Duration) {
	c.world.events.After(wait, func() {
		if c.isStale(attemptNumber) || c.attempt == nil {
			return
		}
		if left := c.silenceTimeout() - c.world.now().Sub(c.lastActivityAt); left > 0 {
			c.watchSilence(attemptNumber, left)
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

// abandonAttempt lets go of the attempt under way and cancels it at its edge.
func (c *call) abandonAttempt() {
	if clientAttempt := c.attempt; clientAttempt != nil {
		c.attempt = nil
		clientAttempt.edge.afterLink(c.request.Zone, clientAttempt.cancel)
	}
}

// receiveEvent counts an event of the answer; ids must follow each other, over resumptions too.
func (c *call) receiveEvent(attemptNumber, id int) {
	if c.isStale(attemptNumber) || c.attempt == nil {
		return
	}
	now := c.world.now()
	if id != c.received+1 {
		c.world.recordViolation("request %d of %s: event %d after %d", c.request.Number, c.class.Name, id, c.received)
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

// onRejected retries after the wait that the rejection names, at most a third of the time left.
func (c *call) onRejected(attemptNumber int, wait time.Duration) {
	if c.isStale(attemptNumber) {
		return
	}
	c.attempt, c.fallbackOutcome = nil, outcomeRejected
	c.world.events.After(min(wait, c.deadline.Sub(c.world.now())/3), func() { c.retryIfCurrent(attemptNumber) })
}

// onTruncated resumes a truncated answer if the class allows it and ends the call otherwise.
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

// finish ends the call once, with the given outcome, and notifies the observer.
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

// inTime reports whether the call was served with its first token within the target and no gap beyond
// the class's gap.
func (c *call) inTime() bool {
	return c.outcome == outcomeServed && c.firstEventAt.Sub(c.startedAt) <= c.targetLatency() && c.maxEventGap <= milliseconds(c.class.TokenGapMs)
}

// firstTokenMs is the time to the first token in milliseconds, or 0 if none came.
func (c *call) firstTokenMs() float64 {
	if c.received == 0 {
		return 0
	}
	return inMilliseconds(c.firstEventAt.Sub(c.startedAt))
}
