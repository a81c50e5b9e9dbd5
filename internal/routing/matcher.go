package routing

import (
	"context"
	"sync/atomic"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/peer"
)

// Matcher is the routing policy of one data plane. Run owns all fields but the channels and the
// atomic ones; the exported function fields and LoadReportDue are set or read before Run starts.
type Matcher struct {
	parameters Parameters
	zone       string // this data plane's own
	clock      func() time.Time

	// current is the newest snapshot, stored by the daemon; fleet is the one in use.
	latest   *atomic.Pointer[Snapshot]
	snapshot *Snapshot
	index    *Index

	submitted      chan *Request
	cancellations  chan *Request
	reports        chan Report
	loadRequests   chan chan peer.LoadReport
	ledgerChanges  chan func(*PrefixLedger)
	snapshotStored chan struct{}
	forkRequests   chan chan *Matcher

	states          map[string]*replicaState // by replica id
	unlisted        int                      // states of replicas that the snapshot leaves out
	stateByPosition []*replicaState          // the same by position in the index, filled on demand
	watched         map[string]*replicaState // those with something to report
	health          *health
	ledger          *PrefixLedger
	paces           map[string]float64 // by model, see pace
	graph           assignmentGraph

	waiting     []*Request // undecided, sorted by compareRank
	newlyQueued int        // of those, how many have not been in a batch
	retryBatch  []*Request // buffer of retryForReplica
	batchDueAt  time.Time  // when the oldest newly queued request must be decided
	retryAt     time.Time  // when all that wait are tried again

	// Counters of the load report, by backend and model. arrivals and reads start anew with each.
	arrivals       map[[2]string]int
	running        map[[2]string]int
	latencyTargets map[[2]string]float64 // ms, of the last request
	prefillMs      map[[2]string]float64 // ms of reading uncached tokens, predicted

	draining atomic.Bool

	// LoadReportDue receives when the load should be reported at once: a failure was counted, or a
	// request's model is loaded nowhere. It holds one signal.
	LoadReportDue chan struct{}
	// OnSuspect, if set, is called from Run with a replica that is suspected.
	OnSuspect func(replica string)
	// OnDemand, if set, is called from Run with the model of every request that arrives or waits.
	OnDemand func(backend, model string)
	// Trusts, if set, reports whether the ledger may be used now (docs/design/retention.md).
	LedgerTrusted func(now time.Time) bool
}

// Capacities of the channels into Run.
const (
	requestBuffer = 256
	reportBuffer  = 1024
	changeBuffer  = 8
)

// NewMatcher returns a matcher for a data plane in a zone. The snapshot in current may be replaced
// at any time, but a stored one must not be changed.
func NewMatcher(parameters Parameters, zone string, clock func() time.Time, current *atomic.Pointer[Snapshot]) *Matcher {
	return &Matcher{
		parameters:     parameters,
		zone:           zone,
		clock:          clock,
		latest:         current,
		snapshot:       &Snapshot{},
		index:          NewIndex(nil),
		submitted:      make(chan *Request, requestBuffer),
		cancellations:  make(chan *Request, requestBuffer),
		reports:        make(chan Report, reportBuffer),
		loadRequests:   make(chan chan peer.LoadReport),
		ledgerChanges:  make(chan func(*PrefixLedger), changeBuffer),
		snapshotStored: make(chan struct{}, 1),
		forkRequests:   make(chan chan *Matcher),
		states:         map[string]*replicaState{},
		watched:        map[string]*replicaState{},
		health:         newHealth(),
		ledger:         NewPrefixLedger(parameters.LedgerBound, parameters.LedgerLife),
		paces:          map[string]float64{},
		arrivals:       map[[2]string]int{},
		running:        map[[2]string]int{},
		latencyTargets: map[[2]string]float64{},
		prefillMs:      map[[2]string]float64{},
		LoadReportDue:  make(chan struct{}, 1),
	}
}

// Submit hands over a request and blocks until it is decided or the context ends. Any goroutine may
// call it; the request must not be changed before it returns. A command with a ticket obliges the
// caller to report an outcome that ends the attempt.
func (m *Matcher) Submit(ctx context.Context, request *Request) Decision {
	request.Decided = make(chan Decision, 1)
	select {
	case m.submitted <- request:
	case <-ctx.Done():
		return Decision{Error: apierror.New(apierror.Overloaded, "given up before it was taken in")}
	}
	select {
	case decision := <-request.Decided:
		return decision
	case <-ctx.Done():
		m.cancellations <- request
		return Decision{Error: apierror.New(apierror.Overloaded, "client gone or deadline reached")}
	}
}

// Report records what happened to a request that was sent. Any goroutine may call it.
func (m *Matcher) Report(ticket *Ticket, outcome Outcome) {
	m.reports <- Report{Ticket: ticket, Outcome: outcome, At: m.clock()}
}

// Changed announces that a new snapshot was stored, so that what waits is tried again. Any goroutine may
// call it; it never blocks.
func (m *Matcher) SnapshotChanged() {
	select {
	case m.snapshotStored <- struct{}{}:
	default:
	}
}

// Leave makes all requests that wait, and those that would have to, be rejected at once: the data
// plane is ending. Any goroutine may call it.
func (m *Matcher) StartDraining() {
	m.draining.Store(true)
	m.SnapshotChanged()
}

// Load returns the load since the last call, or an empty report when the context ends first. Any
// goroutine may call it.
func (m *Matcher) LoadReport(ctx context.Context) peer.LoadReport {
	answer := make(chan peer.LoadReport, 1)
	select {
	case m.loadRequests <- answer:
		return <-answer
	case <-ctx.Done():
		return peer.LoadReport{}
	}
}

// Forget runs a change of the ledger on the matcher's goroutine. Any goroutine may call it; it does
// not wait for the change.
func (m *Matcher) UpdateLedger(change func(*PrefixLedger)) { m.ledgerChanges <- change }

const (
	// retryInterval is how often all that waits is tried again without any news.
	retryInterval = 25 * time.Millisecond
	// idleWake is the timer's period while nothing waits.
	idleWake = time.Hour
)

// Run is the matcher's loop; it returns when the context ends.
func (m *Matcher) Run(ctx context.Context) {
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for {
		m.useLatestSnapshot()
		timer.Reset(m.nextWake())
		select {
		case <-ctx.Done():
			return
		case request := <-m.submitted:
			m.enqueue(request)
		case request := <-m.cancellations:
			m.cancel(request)
		case report := <-m.reports:
			m.handleReport(report)
		case answer := <-m.loadRequests:
			answer <- m.collectLoad()
		case change := <-m.ledgerChanges:
			change(m.ledger)
		case answer := <-m.forkRequests:
			answer <- m.fork(m.clock(), m.ledger.fork())
		case <-m.snapshotStored:
			m.useLatestSnapshot()
			m.decideWaiting()
		case <-timer.C:
			m.decideWaiting()
		}
	}
}

// nextWake is the time until something waiting has to be decided or tried again.
func (m *Matcher) nextWake() time.Duration {
	if m.newlyQueued > 0 {
		return max(m.batchDueAt.Sub(m.clock()), 0)
	}
	if len(m.waiting) > 0 {
		return max(m.retryAt.Sub(m.clock()), 0)
	}
	return idleWake
}
