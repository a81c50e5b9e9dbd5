package routing

import (
	"context"

	"ferryspar/internal/apierror"
	"ferryspar/internal/peer"
)

// Capacities of the inbox channels.
const (
	requestBuffer = 256
	reportBuffer  = 1024
	changeBuffer  = 8
)

// inbox holds the channels by which other goroutines reach Run.
type inbox struct {
	requests       chan *Request
	cancellations  chan *Request
	reports        chan Report
	prefilled      chan prefilledNotice
	loadRequests   chan chan peer.LoadReport
	ledgerChanges  chan func(*PrefixLedger)
	forkRequests   chan chan *Matcher
	snapshotStored chan struct{} // buffers one signal
	stopped        chan struct{} // closed when Run returns: nothing is received any more
}

func newInbox() inbox {
	return inbox{
		requests:       make(chan *Request, requestBuffer),
		cancellations:  make(chan *Request, requestBuffer),
		reports:        make(chan Report, reportBuffer),
		prefilled:      make(chan prefilledNotice),
		loadRequests:   make(chan chan peer.LoadReport),
		ledgerChanges:  make(chan func(*PrefixLedger), changeBuffer),
		forkRequests:   make(chan chan *Matcher),
		snapshotStored: make(chan struct{}, 1),
		stopped:        make(chan struct{}),
	}
}

// Submit submits a request and blocks until it is decided or the context ends. Any goroutine may call it;
// the request must not be modified before it returns. If the decision has a ticket, the caller must report an
// outcome that ends the request: until then the request counts as running at its replica.
func (m *Matcher) Submit(ctx context.Context, request *Request) Decision {
	request.Decided = make(chan Decision, 1)
	select {
	case m.inbox.requests <- request:
	case <-ctx.Done():
		return Decision{Error: apierror.New(apierror.Overloaded, "given up before it was taken in")}
	}
	select {
	case decision := <-request.Decided:
		return decision
	case <-ctx.Done():
		m.withdraw(request)
		return Decision{Error: apierror.New(apierror.Overloaded, "client gone or deadline reached")}
	}
}

// withdraw tells Run that nobody waits for the request any more.
func (m *Matcher) withdraw(request *Request) {
	deliver(m.inbox.cancellations, request, m.inbox.stopped)
}

// deliver sends a value to Run. It does nothing once Run has returned, since nothing is received any more.
func deliver[Value any](channel chan<- Value, value Value, stopped <-chan struct{}) {
	select {
	case channel <- value:
	case <-stopped:
	}
}

// Report reports an outcome of a request that was sent. Any goroutine may call it. It does nothing once Run has returned.
func (m *Matcher) Report(ticket *Ticket, outcome Outcome) {
	deliver(m.inbox.reports, Report{Ticket: ticket, Outcome: outcome, At: m.clock()}, m.inbox.stopped)
}

// SnapshotChanged signals that a new snapshot was stored, so that waiting requests are retried. Any
// goroutine may call it; it never blocks.
func (m *Matcher) SnapshotChanged() {
	select {
	case m.inbox.snapshotStored <- struct{}{}:
	default:
	}
}

// StartDraining causes all waiting requests, and new ones that would have to wait, to be rejected at once,
// since the data plane is shutting down. Any goroutine may call it.
func (m *Matcher) StartDraining() {
	m.draining.Store(true)
	m.SnapshotChanged()
}

// LoadReport returns the load since the last call, or an empty report if the context ends first. Any
// goroutine may call it.
func (m *Matcher) LoadReport(ctx context.Context) peer.LoadReport {
	reply := make(chan peer.LoadReport, 1)
	select {
	case m.inbox.loadRequests <- reply:
		return <-reply
	case <-ctx.Done():
		return peer.LoadReport{}
	}
}

// UpdateLedger runs a function on the ledger in the matcher's goroutine, without waiting for it to finish.
// Any goroutine may call it.
func (m *Matcher) UpdateLedger(change func(*PrefixLedger)) {
	deliver(m.inbox.ledgerChanges, change, m.inbox.stopped)
}
