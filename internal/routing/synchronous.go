package routing

import (
	"time"

	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
)

// The methods of this file drive a matcher from one goroutine, without Run: the emulator and the replay
// engine use them with a simulated clock. They must not be used together with Run.

// Enqueue accepts a request, as Submit does. The decision arrives in request.Decided.
func (m *Matcher) Enqueue(request *Request) {
	request.Decided = make(chan Decision, 1)
	m.useLatestSnapshot()
	m.enqueue(request)
}

// HandleReport applies a report.
func (m *Matcher) HandleReport(report Report) {
	m.useLatestSnapshot()
	m.handleReport(report)
}

// CompletePrefillSync is CompletePrefill without Run.
func (m *Matcher) CompletePrefillSync(step *PrefillStep) bool {
	notice := prefilledNotice{prefill: step.Ticket, at: m.clock(), usable: make(chan bool, 1)}
	m.useLatestSnapshot()
	m.handlePrefilled(notice)
	return <-notice.usable
}

// Wake tries to assign all waiting requests, as Run does on a new snapshot and on its timer.
func (m *Matcher) Wake() {
	m.useLatestSnapshot()
	m.decideWaiting()
}

// NextWake returns the time until Wake should be called, and false if nothing waits.
func (m *Matcher) NextWake() (time.Duration, bool) {
	wait := m.queue.nextWake(m.clock)
	return wait, wait < idleWake
}

// Cancel withdraws a request whose client has disconnected.
func (m *Matcher) Cancel(request *Request) { m.cancel(request) }

// WaitingCount returns the number of undecided requests.
func (m *Matcher) WaitingCount() int { return m.queue.len() }

// CollectLoad is LoadReport without Run.
func (m *Matcher) CollectLoad() peer.LoadReport {
	m.snapshot = m.latest.Load()
	return m.collectLoad()
}

// ForecastSync is Forecast without Run.
func (m *Matcher) ForecastSync(loss drill.Loss) drill.ForecastResponse {
	now := m.clock()
	return m.fork(now, m.ledger.fork()).forecast(loss, now)
}

// Now returns the time of the matcher's clock.
func (m *Matcher) Now() time.Time { return m.clock() }

// CachedTokens returns the number of prompt tokens that were expected in the replica's cache.
func (t *Ticket) CachedTokens() float64 { return t.cachedTokens }

// UncachedTokens returns the number of prompt tokens that the replica was expected to prefill.
func (t *Ticket) UncachedTokens() float64 { return t.uncachedTokens }
