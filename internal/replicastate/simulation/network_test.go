package simulation

import (
	"net/http"
	"time"

	"ferryspar/internal/replicastate"
)

const (
	callTimeout            = 700 * time.Millisecond
	minLatency             = time.Millisecond
	maxLatency             = 30 * time.Millisecond
	statusNoResponse       = -1
	statusUnreachable      = -2
	connectionRefusedDelay = 5 * time.Millisecond
	maxDuplicateDelay      = 2 * time.Second
)

// link is the network between a node and a server.
type link struct {
	delayedUntil       time.Time // end of the delay of requests
	responsesLostUntil time.Time // end of the loss of responses
	delayed            []func()
}

// linkKey identifies a link by its endpoints.
type linkKey struct{ node, server string }

// call is one request of a node to a server.
type call struct {
	ended   bool
	endedAt time.Time
}

func (c *cluster) link(from *node, to *server) *link {
	key := linkKey{node: from.name, server: to.id}
	if c.links[key] == nil {
		c.links[key] = &link{}
	}
	return c.links[key]
}

// delayRequests delays the requests between a node and a server until the given duration has passed.
func (c *cluster) delayRequests(from *node, to *server, duration time.Duration) {
	link := c.link(from, to)
	until := c.now.Add(duration)
	if until.After(link.delayedUntil) {
		link.delayedUntil = until
	}
	c.after(duration, func() {
		if c.now.Before(link.delayedUntil) {
			return
		}
		delayed := link.delayed
		link.delayed = nil
		for _, arrive := range delayed {
			c.after(c.randomDuration(0, maxLatency), arrive)
		}
	})
}

// send sends an order to a server and passes done the status of the response, statusNoResponse or statusUnreachable. A delayed
// order arrives at the end of the delay even if its call has timed out, unless mayArrive rules that out.
func (c *cluster) send(from *node, to *server, order sentOrder, done func(status int)) {
	sent := &call{}
	finish := from.finishOnce(sent, done)
	c.applyOnNextOrder(from, to)
	link := c.link(from, to)
	incarnation := to.incarnation
	deliver := func() {
		if sent.ended && !c.mayArrive(sent, to.incarnation != incarnation) {
			return
		}
		if to.down {
			from.after(connectionRefusedDelay, func() { finish(statusUnreachable) })
			return
		}
		order.delayed = order.delayed || c.now.Before(to.frozenUntil)
		to.whenRunning(func() {
			order.late = sent.ended
			status := to.handleOrder(order)
			if c.now.Before(link.responsesLostUntil) {
				return
			}
			from.after(c.randomDuration(minLatency, maxLatency), func() { finish(status) })
		})
	}
	c.after(c.randomDuration(minLatency, maxLatency), func() {
		if !c.now.Before(link.delayedUntil) {
			deliver()
			return
		}
		order.delayed = true
		link.delayed = append(link.delayed, deliver)
		if c.faultModel.unboundedDelay {
			link.delayed = append(link.delayed, func() { c.after(c.randomDuration(0, maxDuplicateDelay), deliver) })
		}
	})
	from.after(callTimeout, func() { finish(statusNoResponse) })
	from.calls = append(from.calls, sent)
}

// mayArrive decides, partly at random, whether the request of a call that has ended still arrives.
func (c *cluster) mayArrive(sent *call, restarted bool) bool {
	if c.faultModel.unboundedDelay {
		return true
	}
	if restarted && !c.faultModel.deliversAfterRestart {
		return false
	}
	return c.now.Sub(sent.endedAt) < timings.MaxOrderLifetime && c.random.IntN(4) > 0
}

// requestReport requests a report from a server and passes it to done, or nil if none is received.
func (c *cluster) requestReport(from *node, to *server, id string, done func(report *replicastate.Report)) {
	sent := &call{}
	var report *replicastate.Report
	finish := from.finishOnce(sent, func(status int) {
		if status != http.StatusOK {
			report = nil
		}
		done(report)
	})
	link := c.link(from, to)
	c.after(c.randomDuration(minLatency, maxLatency), func() {
		if c.now.Before(link.delayedUntil) || c.now.Before(link.responsesLostUntil) {
			return
		}
		if to.down || to.id != id {
			from.after(connectionRefusedDelay, func() { finish(statusNoResponse) })
			return
		}
		to.whenRunning(func() {
			shown := to.reportWithLag(c.randomDuration(0, maxReportLag))
			report = &shown
			from.after(c.responseLatency(), func() { finish(http.StatusOK) })
		})
	})
	from.after(callTimeout, func() { finish(statusNoResponse) })
}

// responseLatency draws the latency of a report; one in eight takes up to nearly the call timeout.
func (c *cluster) responseLatency() time.Duration {
	if c.random.IntN(8) == 0 {
		return c.randomDuration(maxLatency, callTimeout-maxLatency)
	}
	return c.randomDuration(minLatency, maxLatency)
}

// finishOnce returns a function that ends the call on its first invocation and ignores later ones.
func (n *node) finishOnce(sent *call, done func(status int)) func(status int) {
	return func(status int) {
		if sent.ended {
			return
		}
		sent.ended, sent.endedAt = true, n.cluster.now
		done(status)
	}
}
