package routing

import (
	"slices"
	"time"

	"ferryspar/internal/apierror"
)

// accept takes in a new request. It is decided at once when nothing else waits or is about to be
// taken in, when a whole batch has come, or else BatchWait after the oldest one.
func (m *Matcher) enqueue(request *Request) {
	key := [2]string{request.Backend, request.Model}
	m.arrivals[key]++
	m.latencyTargets[key] = float64(request.LatencyTarget.Milliseconds())
	if m.OnDemand != nil {
		m.OnDemand(request.Backend, BaseModel(request.Model))
	}
	m.ledger.addSample(request)
	if m.snapshot.Drill != nil {
		m.snapshot.Drill.admit(request, m.clock())
	}
	idle := len(m.waiting) == 0
	m.insertWaiting(request)
	m.newlyQueued++
	if len(m.waiting) > m.parameters.QueueBound {
		m.rejectLowest()
	}
	if m.newlyQueued == 1 {
		m.batchDueAt = m.clock().Add(m.parameters.BatchWait)
	}
	if idle && len(m.submitted) == 0 || m.newlyQueued >= m.parameters.BatchSize {
		m.decideWaiting()
	}
}

// withdraw takes back a request whose submitter has gone. If it was sent meanwhile, the ticket that
// nobody will read is reported as cancelled.
func (m *Matcher) cancel(request *Request) {
	if !request.decided {
		request.decided = true
		m.removeDecided()
		return
	}
	select {
	case decision := <-request.Decided:
		if decision.Ticket != nil {
			m.handleReport(Report{Ticket: decision.Ticket, Outcome: OutcomeCancelled, At: m.clock()})
		}
	default:
	}
}

// rejectLowest rejects the request of the lowest priority, of several the one that arrived last.
func (m *Matcher) rejectLowest() {
	lowest := m.waiting[0]
	for _, request := range m.waiting {
		if request.Priority > lowest.Priority || request.Priority == lowest.Priority && request.Arrived.After(lowest.Arrived) {
			lowest = request
		}
	}
	m.resolve(lowest, Decision{Error: apierror.NewRetryable(apierror.Overloaded, m.retryAfter(lowest))})
	m.removeDecided()
}

// answer decides a request. Its cached holders are released, since samples of requests are kept and
// must not keep old snapshots of the fleet alive.
func (m *Matcher) resolve(request *Request, decision Decision) {
	request.decided = true
	if request.drill != nil && decision.Error != nil {
		request.drill.recordRejection(request)
	}
	request.hostsIndex = nil
	request.hosts = nil
	request.Decided <- decision
}

// removeDecided removes decided requests from the queue.
func (m *Matcher) removeDecided() {
	kept := m.waiting[:0]
	for _, request := range m.waiting {
		if !request.decided {
			kept = append(kept, request)
		}
	}
	clear(m.waiting[len(kept):])
	m.waiting = kept
}

// compareRank sorts the queue: by priority, then by deadline.
func compareRank(left, right *Request) int {
	if left.Priority != right.Priority {
		return left.Priority - right.Priority
	}
	return left.Deadline.Compare(right.Deadline)
}

// insertWaiting puts a request into the queue, behind those of equal rank.
func (m *Matcher) insertWaiting(request *Request) {
	at, _ := slices.BinarySearchFunc(m.waiting, request, func(queued, added *Request) int {
		if compareRank(queued, added) <= 0 {
			return -1
		}
		return 1
	})
	m.waiting = slices.Insert(m.waiting, at, request)
}

// emit reviews the replicas' health and tries all that waits.
func (m *Matcher) decideWaiting() {
	now := m.clock()
	m.newlyQueued = 0
	m.retryAt = now.Add(retryInterval)
	m.review(now)
	m.assignInBatches(m.waiting, now)
}

// retryForReplica tries what a replica with a freed slot can serve.
func (m *Matcher) retryForReplica(replica string) {
	position, listed := m.index.positions[replica]
	if !listed {
		return
	}
	m.retryBatch = m.retryBatch[:0]
	for _, request := range m.waiting {
		if request.isLoadedAt(m.index, position) {
			m.retryBatch = append(m.retryBatch, request)
		}
	}
	m.assignInBatches(m.retryBatch, m.clock())
	clear(m.retryBatch)
}

// assignInBatches decides requests in batches; those left undecided are rejected if they waited too long.
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
			m.signalModelNotLoaded(request)
			m.rejectIfExpired(request, now)
		}
	}
	m.removeDecided()
}

// signalModelNotLoaded has the load reported at once, the first time that a request's model is loaded nowhere.
func (m *Matcher) signalModelNotLoaded(request *Request) {
	if !request.modelNotLoaded || request.modelNotLoadedSignalled {
		return
	}
	request.modelNotLoadedSignalled = true
	m.requestLoadReport()
}

func (m *Matcher) requestLoadReport() {
	select {
	case m.LoadReportDue <- struct{}{}:
	default:
	}
}
