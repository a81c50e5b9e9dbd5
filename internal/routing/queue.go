package routing

import (
	"time"
)

// enqueue accepts a new request. The request is decided at once if no other request waits or is about to
// arrive, or if it completes a micro-batch, and otherwise BatchWait after the oldest request of the batch
// arrived (IEMAS §4: joint allocation of concurrent requests).
func (m *Matcher) enqueue(request *Request) {
	m.recordPrefillKept(request)
	m.demand.recordArrival(request)
	if m.OnDemand != nil {
		m.OnDemand(request.Backend, BaseModel(request.Model))
	}
	m.ledger.addSample(request)
	if m.snapshot.Drill != nil {
		m.snapshot.Drill.admit(request, m.clock())
	}
	decidedAlone := m.queue.len() == 0 && len(m.inbox.requests) == 0
	if !decidedAlone {
		request.remainingWork = m.remainingWork(request, m.clock())
	}
	m.queue.insert(request)
	m.queue.unbatched++
	if m.queue.len() > m.parameters.QueueLimit {
		m.rejectLowest()
	}
	if m.queue.unbatched == 1 {
		m.queue.batchDueAt = m.clock().Add(m.parameters.BatchWait)
	}
	if decidedAlone || m.queue.unbatched >= m.parameters.BatchSize {
		m.decideWaiting()
	}
}

// cancel withdraws a request whose submitter no longer waits for it. If it was decided in the meantime,
// the unread ticket is reported as cancelled.
func (m *Matcher) cancel(request *Request) {
	if !request.decided {
		request.decided = true
		m.recordPrefillDiscarded(request)
		m.queue.fairness.release(request.Tenant)
		m.queue.removeDecided()
		return
	}
	select {
	case decision := <-request.Decided:
		if decision.Prefill != nil {
			m.withdrawPrefill(decision.Prefill.Ticket)
		}
		if decision.Ticket != nil {
			m.handleReport(Report{Ticket: decision.Ticket, Outcome: OutcomeCancelled, At: m.clock()})
		}
	default:
	}
}

// rejectLowest rejects the last request of the queue, since it is full.
func (m *Matcher) rejectLowest() {
	m.reject(m.queue.lowest(), m.clock())
	m.queue.removeDecided()
}

// resolve records and delivers the decision on a request. Its cached hosts are released, since samples of
// requests are kept and must not keep old snapshots of the fleet alive.
func (m *Matcher) resolve(request *Request, decision Decision) {
	request.decided = true
	if decision.Prefill == nil {
		m.recordPrefillDiscarded(request)
	}
	if decision.Error == nil {
		m.queue.fairness.advance(request.startTag)
	} else {
		m.queue.fairness.release(request.Tenant)
	}
	if request.drill != nil && decision.Error != nil {
		request.drill.recordRejection(request)
	}
	request.hostsIndex = nil
	request.hosts = nil
	request.prefillHosts = nil
	request.Decided <- decision
}

// decideWaiting reviews the replicas' health and tries to assign all waiting requests.
func (m *Matcher) decideWaiting() {
	now := m.clock()
	m.queue.startRound(now)
	m.review(now)
	m.assignInBatches(m.queue.requests, now)
	m.rejectHopeless(now)
}

// retryForReplica tries to assign the waiting requests that a replica with a freed slot can serve.
func (m *Matcher) retryForReplica(replica string) {
	position, listed := m.index.positions[replica]
	if !listed {
		return
	}
	requests := m.queue.servableAt(m.index, position)
	m.assignInBatches(requests, m.clock())
	clear(requests)
}

// assignInBatches assigns requests in batches; those left undecided are rejected if they can wait no longer.
func (m *Matcher) assignInBatches(requests []*Request, now time.Time) {
	if len(requests) == 0 {
		return
	}
	for start := 0; start < len(requests); start += m.parameters.BatchSize {
		end := min(start+m.parameters.BatchSize, len(requests))
		m.assign(requests[start:end], now)
	}
	for _, request := range requests {
		if !request.decided {
			m.recordModelNotLoaded(request, now)
			m.rejectIfExpired(request, now)
		}
	}
	m.queue.removeDecided()
}

// recordModelNotLoaded records that a request's model was found loaded nowhere, and requests a load report the first time.
func (m *Matcher) recordModelNotLoaded(request *Request, now time.Time) {
	if !request.modelNotLoaded {
		return
	}
	key := request.baseModelKey()
	m.missing.record(key, m.loadTime(key), now)
	if request.modelNotLoadedSignalled {
		return
	}
	request.modelNotLoadedSignalled = true
	m.requestLoadReport()
}

// requestLoadReport signals LoadReportDue unless a signal is pending.
func (m *Matcher) requestLoadReport() {
	select {
	case m.LoadReportDue <- struct{}{}:
	default:
	}
}
