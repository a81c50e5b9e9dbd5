package emulator

import (
	"time"

	"ferryspar/internal/routing"
)

// forward sends the request to a server and starts the silence timeout.
func (p *attempt) forward(to *server) {
	w := p.edge.world
	p.forwardNumber++
	number := p.forwardNumber
	now := w.now()
	p.replicaID = to.id
	p.lastByteAt = now
	p.firstEventSeen = false
	p.lastReportedAt = now
	p.execution = &execution{
		attempt:       p,
		forwardNumber: number,
		model:         p.call.request.Model,
		prefixHashes:  p.request.PrefixHashes,
		nextEvent:     max(p.lastID-w.scenario.Replica.RepeatedEvents, 0) + 1,
		priority:      p.call.class.Priority,
		queuedAt:      now,
		prefill:       p.prefillStep != nil,
		source:        p.held,
	}
	connected := now.Sub(p.edge.lastUsed[to.id]) < idleConnectionTimeout
	if to.dead && !(to.silent && connected) {
		wait := connectTimeout
		if !to.silent {
			wait = 2 * w.linkDelay(p.edge.zone, to.machine.zone)
		}
		w.events.After(wait, func() { p.onOutcome(number, routing.OutcomeUnreachable) })
		return
	}
	w.observer.forwarded()
	p.deliver(to, p.execution)
	p.watchSilence(number, silenceTimeout)
}

// deliver passes the execution to the server after the link's delay. A dead server whose connections were
// closed fails it at once; with one that does not respond, the silence timeout fails it.
func (p *attempt) deliver(to *server, run *execution) {
	number := run.forwardNumber
	p.edge.afterLink(to.machine.zone, func() {
		if to.dead {
			if !to.silent {
				p.edge.afterLink(to.machine.zone, func() { p.onOutcome(number, routing.OutcomeTruncated) })
			}
			return
		}
		if outcome, rejected := rejectionOutcomes[to.accept(run)]; rejected {
			p.edge.afterLink(to.machine.zone, func() { p.onOutcome(number, outcome) })
		}
	})
}

// rejectionOutcomes maps each admission that is a rejection to its outcome.
var rejectionOutcomes = map[admission]routing.Outcome{
	admissionFull:         routing.OutcomeFull,
	admissionModelMissing: routing.OutcomeModelMissing,
}

// watchSilence fails the forward as truncated once no byte has been received for the silence timeout.
func (p *attempt) watchSilence(number int, wait time.Duration) {
	p.edge.world.events.After(wait, func() {
		if p.isOver() || p.forwardNumber != number || p.ticket == nil {
			return
		}
		if remaining := silenceTimeout - p.edge.world.now().Sub(p.lastByteAt); remaining > 0 {
			p.watchSilence(number, remaining)
			return
		}
		p.onOutcome(number, routing.OutcomeTruncated)
	})
}

// closeConnection closes the connection to the replica, which then abandons the execution.
func (p *attempt) closeConnection() {
	run := p.execution
	p.edge.afterLink(p.edge.world.servers[p.replicaID].machine.zone, run.abandon)
}

// sendEventToEdge delivers an event of a server to the edge after the link's delay.
func (p *attempt) sendEventToEdge(number int, from *server, id int, last bool) {
	p.edge.afterLink(from.machine.zone, func() { p.onEvent(number, id, last) })
}

// onEvent forwards an event of the current forward to the client. Events of earlier forwards are ignored.
func (p *attempt) onEvent(number, id int, last bool) {
	if p.isOver() || p.forwardNumber != number || p.ticket == nil {
		return
	}
	now := p.edge.world.now()
	p.lastByteAt, p.edge.lastUsed[p.replicaID] = now, now
	p.held, p.request.CompletedPrefill = nil, nil
	if !p.firstEventSeen {
		p.firstEventSeen, p.lastReportedAt = true, now
		p.edge.reportOutcome(p.ticket, routing.OutcomeFirstEvent)
	} else if now.Sub(p.lastReportedAt) > progressReportInterval {
		p.lastReportedAt = now
		p.edge.reportOutcome(p.ticket, routing.OutcomeProgress)
	}
	p.headSent, p.lastID = true, id
	p.sendToClient(func() { p.call.receiveEvent(p.number, id) })
	if last {
		p.closed = true
		p.reportOutcome(routing.OutcomeServed)
	}
	p.edge.processDecisions()
}
