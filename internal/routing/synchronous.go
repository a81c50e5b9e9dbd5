package routing

import (
	"time"

	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
)

// The methods of this file drive a matcher from one goroutine, without Run: the emulator and the
// replayer use them under a simulated clock. They must not be mixed with Run.

// Begin takes in a request, as Submit does. The command arrives in request.Answer.
func (m *Matcher) Enqueue(request *Request) {
	request.Decided = make(chan Decision, 1)
	m.useLatestSnapshot()
	m.enqueue(request)
}

// Tell takes in a report.
func (m *Matcher) HandleReport(report Report) {
	m.useLatestSnapshot()
	m.handleReport(report)
}

// Wake tries all that waits, as Run does on news and on its timer.
func (m *Matcher) Wake() {
	m.useLatestSnapshot()
	m.decideWaiting()
}

// NextWake returns the time until Wake should be called, and false when nothing waits.
func (m *Matcher) NextWake() (time.Duration, bool) {
	wait := m.nextWake()
	return wait, wait < idleWake
}

// Withdraw takes back a request whose client has gone.
func (m *Matcher) Cancel(request *Request) { m.cancel(request) }

// Waiting is the count of undecided requests.
func (m *Matcher) WaitingCount() int { return len(m.waiting) }

// CollectLoad is Load without Run.
func (m *Matcher) CollectLoad() peer.LoadReport {
	m.snapshot = m.latest.Load()
	return m.collectLoad()
}

// ForecastSync is Forecast without Run.
func (m *Matcher) ForecastSync(loss drill.Loss) drill.ForecastResponse {
	now := m.clock()
	return m.fork(now, m.ledger.fork()).forecast(loss, now)
}

// Now is the time of the matcher's clock.
func (m *Matcher) Now() time.Time { return m.clock() }

// Kept is the count of prompt tokens that the ledger expected in the replica's cache.
func (t *Ticket) CachedTokens() float64 { return t.cachedTokens }

// Uncached is the count of prompt tokens that the replica was expected to read.
func (t *Ticket) UncachedTokens() float64 { return t.uncachedTokens }
