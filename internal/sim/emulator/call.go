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
	began        time.Time
	deadline     time.Time
	attemptsMade int
	// received is the id of the last event received; 0 before the first.
	received  int
	first     time.Time
	lastEvent time.Time
	// pause is the longest time between two events.
	pause     time.Duration
	lastHeard time.Time
	// reason is the outcome that counts if no further attempt is made.
	reason string
	// attempt is the one under way, or nil.
	attempt *attempt
	ended   bool
	endedAt time.Time
	// interrupted marks a call that the last loss hit and that no spared replica has taken yet.
	interrupted bool
	// waitMs is how long the first forwarded attempt waited in its edge.
	waitMs float64
	// notLoaded tells that no replica held the model when the request arrived.
	notLoaded bool
	outcome   string
}

const (
	// outcomeServed: every event arrived.
	outcomeServed = "served"
	// outcomeRefused: the last attempt was rejected before it ran.
	outcomeRefused = "refused"
	// outcomeBroken: the answer was cut and may not be asked for again.
	outcomeBroken = "broken"
	// outcomeSilent: no data plane answered in time.
	outcomeSilent = "silent"
	// outcomeExpired: the client's timeout passed.
	outcomeExpired = "expired"
)

const (
	// clientConnect is how long a client waits for a connection to a dead edge.
	clientConnect = time.Second
	// brokenPause is how long a client waits before it resumes a cut stream.
	brokenPause = 50 * time.Millisecond
	// returnedSlack is how much of the timeout a first attempt may have lost on its way before it is
	// taken for one that returns after a rejection.
	returnedSlack = 20 * time.Millisecond
)

// targetLatency is the class's aim for the first token.
func (c *call) targetLatency() time.Duration { return milliseconds(c.class.AimMs) }

// silenceBound is how long the client waits without an event before it gives the attempt up.
func (c *call) silenceBound() time.Duration {
	return max(2*time.Second, 4*c.targetLatency(), 8*milliseconds(c.class.GapMs))
}

// begin starts the request at the moment of its arrival.
func (c *call) begin() {
	c.began = c.world.now()
	c.deadline = c.began.Add(milliseconds(c.class.TimeoutMs))
	c.reason = outcomeExpired
	c.notLoaded = !c.world.isLoadedAnywhere(c.request.Model)
	c.world.events.At(c.deadline, func() { c.finish(outcomeExpired) })
	c.sendAttempt()
}

// sendAttempt chooses an edge and sends the request there, unless the class's tries are used up.
func (c *call) sendAttempt() {
	if c.ended {
		return
	}
	if c.attemptsMade >= c.class.Tries {
		c.finish(c.reason)
		return
	}
	c.attemptsMade++
	try := c.attemptsMade
	chosen := c.world.chooseEdge(c.request.Zone, c.request.Draw, try)
	if chosen == nil || !chosen.alive {
		c.reason = outcomeSilent
		c.world.events.After(clientConnect, func() { c.retryIfCurrent(try) })
		return
	}
	c.lastHeard = c.world.now()
	one := &attempt{call: c, edge: chosen, life: chosen.life, try: try, lastID: c.received}
	c.attempt = one
	chosen.afterLink(c.request.Zone, func() {
		if one.isOver() {
			return
		}
		one.request = c.matchRequest(chosen, try)
		chosen.accept(one)
	})
	c.watchSilence(try, c.silenceBound())
}

// matchRequest describes this request as the given edge's matcher sees it on arrival now.
func (c *call) matchRequest(at *edge, try int) routing.Request {
	now := c.world.now()
	remaining := c.deadline.Sub(now)
	firstRemaining := milliseconds(c.class.TimeoutMs) - returnedSlack - c.world.linkDelay(at.zone, c.request.Zone)
	return routing.Request{
		Attempt:          fmt.Sprintf("%d.%d", c.request.Number, try),
		Backend:          backendName,
		Model:            c.request.Model,
		Parts:            c.request.Parts,
		PrefixHashes:     routing.HashPrefixes(c.request.Parts),
		PromptTokens:     c.request.Prompt,
		OutputTokens:     float64(c.request.Output),
		Arrived:          now,
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

// isStale tells whether something of the given try comes too late to count.
func (c *call) isStale(try int) bool { return c.ended || c.attemptsMade != try }

// retryIfCurrent makes the next attempt if the given try is still the last one.
func (c *call) retryIfCurrent(try int) {
	if !c.isStale(try) {
		c.sendAttempt()
	}
}

// watchSilence gives the attempt up once nothing was heard for the silence bound; only resumable
// classes try again.
func (c *call) watchSilence(try int, wait time.Duration) {
	c.world.events.After(wait, func() {
		if c.isStale(try) || c.attempt == nil {
			return
		}
		if left := c.silenceBound() - c.world.now().Sub(c.lastHeard); left > 0 {
			c.watchSilence(try, left)
			return
		}
		c.reason = outcomeSilent
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
	if one := c.attempt; one != nil {
		c.attempt = nil
		one.edge.afterLink(c.request.Zone, one.cancel)
	}
}

// receiveEvent counts an event of the answer; ids must follow each other, over resumptions too.
func (c *call) receiveEvent(try, id int) {
	if c.isStale(try) || c.attempt == nil {
		return
	}
	now := c.world.now()
	if id != c.received+1 {
		c.world.noteViolation("request %d of %s: event %d after %d", c.request.Number, c.class.Name, id, c.received)
	}
	if c.received == 0 {
		c.first = now
	} else {
		c.pause = max(c.pause, now.Sub(c.lastEvent))
	}
	c.received = id
	c.lastEvent = now
	c.lastHeard = now
	if id == c.request.Output {
		c.attempt = nil
		c.finish(outcomeServed)
	}
}

// onRefused tries again after the wait that the rejection names, at most a third of the time left.
func (c *call) onRefused(try int, wait time.Duration) {
	if c.isStale(try) {
		return
	}
	c.attempt, c.reason = nil, outcomeRefused
	c.world.events.After(min(wait, c.deadline.Sub(c.world.now())/3), func() { c.retryIfCurrent(try) })
}

// onBroken resumes a cut answer if the class allows it and ends the call otherwise.
func (c *call) onBroken(try int) {
	if c.isStale(try) {
		return
	}
	c.attempt, c.reason = nil, outcomeBroken
	if !c.class.Resumable {
		c.finish(outcomeBroken)
		return
	}
	c.world.events.After(brokenPause, func() { c.retryIfCurrent(try) })
}

// finish ends the call once, with the given outcome, and tells the observer.
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

// inTime tells whether the call was served with its first token inside the aim and no pause beyond
// the class's gap.
func (c *call) inTime() bool {
	return c.outcome == outcomeServed && c.first.Sub(c.began) <= c.targetLatency() && c.pause <= milliseconds(c.class.GapMs)
}

// firstTokenMs is the time to the first token in milliseconds, or 0 if none came.
func (c *call) firstTokenMs() float64 {
	if c.received == 0 {
		return 0
	}
	return inMilliseconds(c.first.Sub(c.began))
}
