package emulator

import (
	"time"

	"ferryspar/internal/routing"
)

// forward sends the request to a server and watches for its answer.
func (p *attempt) forward(to *server) {
	w := p.edge.world
	p.forwardNumber++
	number := p.forwardNumber
	now := w.now()
	p.replicaID = to.id
	p.lastByte = now
	p.firstSeen = false
	p.lastReported = now
	p.execution = &execution{
		attempt:       p,
		forwardNumber: number,
		model:         p.call.request.Model,
		dialogues:     p.request.PrefixHashes,
		nextEvent:     max(p.lastID-w.scenario.Replica.Repeats, 0) + 1,
		priority:      p.call.class.Priority,
		queuedAt:      now,
		prefill:       p.step != nil,
		source:        p.held,
	}
	connected := now.Sub(p.edge.lastUsed[to.id]) < idleTime
	if to.dead && !(to.dark && connected) {
		wait := connectTimeout
		if !to.dark {
			wait = 2 * w.linkDelay(p.edge.zone, to.machine.zone)
		}
		w.events.After(wait, func() { p.onOutcome(number, routing.OutcomeUnreachable) })
		return
	}
	w.observer.forwarded()
	p.deliver(to, p.execution)
	p.watchSilence(number, silenceTimeout)
}

// deliver hands the execution to the server after the link's delay. A dead server that closes its
// connections fails it; a dark one leaves it to the silence timeout.
func (p *attempt) deliver(to *server, run *execution) {
	number := run.forwardNumber
	p.edge.afterLink(to.machine.zone, func() {
		if to.dead {
			if !to.dark {
				p.edge.afterLink(to.machine.zone, func() { p.onOutcome(number, routing.OutcomeTruncated) })
			}
			return
		}
		if outcome, rejected := rejectionOutcomes[to.accept(run)]; rejected {
			p.edge.afterLink(to.machine.zone, func() { p.onOutcome(number, outcome) })
		}
	})
}

// rejectionOutcomes is the outcome of each admission that is a rejection.
var rejectionOutcomes = map[admission]routing.Outcome{
	admissionFull:    routing.OutcomeFull,
	admissionMissing: routing.OutcomeModelMissing,
}

// watchSilence treats the forward as broken once no byte came for the silence timeout.
func (p *attempt) watchSilence(number int, wait time.Duration) {
	p.edge.world.events.After(wait, func() {
		if p.isOver() || p.forwardNumber != number || p.ticket == nil {
			return
		}
		if left := silenceTimeout - p.edge.world.now().Sub(p.lastByte); left > 0 {
			p.watchSilence(number, left)
			return
		}
		p.onOutcome(number, routing.OutcomeTruncated)
	})
}

// hangUp closes the connection to the replica, which then abandons the execution.
func (p *attempt) hangUp() {
	run := p.execution
	p.edge.afterLink(p.edge.world.servers[p.replicaID].machine.zone, run.abandon)
}

// deliverLater carries an event of a server to the edge, with the link's delay.
func (p *attempt) deliverLater(number int, from *server, id int, last bool) {
	p.edge.afterLink(from.machine.zone, func() { p.onEvent(number, id, last) })
}

// onEvent passes an event of the current forward on to the client.
func (p *attempt) onEvent(number, id int, last bool) {
	if p.isOver() || p.forwardNumber != number || p.ticket == nil {
		return
	}
	now := p.edge.world.now()
	p.lastByte, p.edge.lastUsed[p.replicaID] = now, now
	p.held, p.request.CompletedPrefill = nil, nil
	if !p.firstSeen {
		p.firstSeen, p.lastReported = true, now
		p.edge.reportOutcome(p.ticket, routing.OutcomeFirstEvent)
	} else if now.Sub(p.lastReported) > aliveEvery {
		p.lastReported = now
		p.edge.reportOutcome(p.ticket, routing.OutcomeProgress)
	}
	p.headSent, p.lastID = true, id
	p.toClient(func() { p.call.receiveEvent(p.number, id) })
	if last {
		p.closed = true
		p.reportOutcome(routing.OutcomeServed)
	}
	p.edge.collectAnswers()
}
