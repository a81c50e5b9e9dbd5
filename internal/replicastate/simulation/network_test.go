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
	statusNoAnswer         = -1
	statusUnreached        = -2
	connectionRefusedDelay = 5 * time.Millisecond
	maxDuplicateDelay      = 2 * time.Second
)

// link is the network between a node and a server.
type link struct {
	delayedUntil       time.Time // requests are delayed until then
	responsesLostUntil time.Time // responses are lost until then
	delayed            []func()
}

// linkKey names a link by its ends.
type linkKey struct{ node, server string }

// call is one request of a node to a server.
type call struct {
	ended   bool
	endedAt time.Time
}

func (w *world) link(from *node, to *server) *link {
	key := linkKey{node: from.name, server: to.id}
	if w.links[key] == nil {
		w.links[key] = &link{}
	}
	return w.links[key]
}

// delayRequests holds up requests between a node and a server for a while.
func (w *world) delayRequests(from *node, to *server, duration time.Duration) {
	link := w.link(from, to)
	until := w.now.Add(duration)
	if until.After(link.delayedUntil) {
		link.delayedUntil = until
	}
	w.after(duration, func() {
		if w.now.Before(link.delayedUntil) {
			return
		}
		delayed := link.delayed
		link.delayed = nil
		for _, arrive := range delayed {
			w.after(w.between(0, maxLatency), arrive)
		}
	})
}

// send carries an order to a server; done gets the status of the response, statusNoAnswer or statusUnreached. A delayed order
// still arrives when the delay ends, also after its call was given up, unless that is longer ago than the run allows.
func (w *world) send(from *node, to *server, order sentOrder, done func(status int)) {
	sent := &call{}
	finish := from.endOnce(sent, done)
	w.applyOnNextOrder(from, to)
	link := w.link(from, to)
	incarnation := to.incarnation
	deliver := func() {
		if sent.ended && !w.mayArrive(sent, to.incarnation != incarnation) {
			return
		}
		if to.down {
			from.after(connectionRefusedDelay, func() { finish(statusUnreached) })
			return
		}
		order.delayed = order.delayed || w.now.Before(to.frozenUntil)
		to.whenAwake(func() {
			order.late = sent.ended
			status := to.handleOrder(order)
			if w.now.Before(link.responsesLostUntil) {
				return
			}
			from.after(w.between(minLatency, maxLatency), func() { finish(status) })
		})
	}
	w.after(w.between(minLatency, maxLatency), func() {
		if !w.now.Before(link.delayedUntil) {
			deliver()
			return
		}
		order.delayed = true
		link.delayed = append(link.delayed, deliver)
		if w.allowances.unboundedDelay {
			link.delayed = append(link.delayed, func() { w.after(w.between(0, maxDuplicateDelay), deliver) })
		}
	})
	from.after(callTimeout, func() { finish(statusNoAnswer) })
	from.calls = append(from.calls, sent)
}

// mayArrive tells whether the request of a call that has ended may still arrive.
func (w *world) mayArrive(sent *call, restarted bool) bool {
	if w.allowances.unboundedDelay {
		return true
	}
	if restarted && !w.allowances.survivesRestart {
		return false
	}
	return w.now.Sub(sent.endedAt) < timings.MaxOrderLifetime && w.random.IntN(4) > 0
}

// requestReport requests a report from a server; done gets nil if none is received.
func (w *world) requestReport(from *node, to *server, id string, done func(report *replicastate.Report)) {
	sent := &call{}
	var report *replicastate.Report
	finish := from.endOnce(sent, func(status int) {
		if status != http.StatusOK {
			report = nil
		}
		done(report)
	})
	link := w.link(from, to)
	w.after(w.between(minLatency, maxLatency), func() {
		if w.now.Before(link.delayedUntil) || w.now.Before(link.responsesLostUntil) {
			return
		}
		if to.down || to.id != id {
			from.after(connectionRefusedDelay, func() { finish(statusNoAnswer) })
			return
		}
		to.whenAwake(func() {
			shown := to.reportOf(w.between(0, maxReportLag))
			report = &shown
			from.after(w.responseLatency(), func() { finish(http.StatusOK) })
		})
	})
	from.after(callTimeout, func() { finish(statusNoAnswer) })
}

// responseLatency is how long a report takes to arrive: now and then nearly as long as the call may.
func (w *world) responseLatency() time.Duration {
	if w.random.IntN(8) == 0 {
		return w.between(maxLatency, callTimeout-maxLatency)
	}
	return w.between(minLatency, maxLatency)
}

// endOnce returns a function that ends a call the first time it is called.
func (n *node) endOnce(sent *call, done func(status int)) func(status int) {
	return func(status int) {
		if sent.ended {
			return
		}
		sent.ended, sent.endedAt = true, n.world.now
		done(status)
	}
}
