package replicastate

import (
	"slices"
	"time"
)

// Timings are the delays and timeouts by which a Replica waits.
type Timings struct {
	// ReportLag is how long after a change a replica is polled for a report that should show it.
	ReportLag time.Duration
	// PollInterval is the wait before a replica is polled again.
	PollInterval time.Duration
	// UnknownOutcomeDelay is the wait for a report after an order without a clear answer.
	UnknownOutcomeDelay time.Duration
	// RejectionBackoff is how long a replica that rejects an order is left alone.
	RejectionBackoff time.Duration
	// MaxOrderLifetime is how long after the end of its call the network may hold an order.
	MaxOrderLifetime time.Duration
	// MaxReportAge is how far before its request the moment may lie that a report shows.
	MaxReportAge time.Duration
	// StaleReportWindow is how long reports that contradict what was learned from answers are taken for outdated ones.
	StaleReportWindow time.Duration
}

// Phase says what may be done with a replica.
type Phase int

const (
	// Unknown is a replica of which no report counts: it must be polled.
	Unknown Phase = iota
	// Idle is a replica that has reported what it has loaded and has no order under way.
	Idle
	// AwaitingResponse is a replica with an order that was decided and not answered yet.
	AwaitingResponse
	// Changing is a replica that carries an order out.
	Changing
)

// Replica is the knowledge of one replica under one grant. Only one goroutine may use it.
type Replica struct {
	timings  *Timings
	fence    uint64
	phase    Phase
	sequence int64
	// loaded is what the replica reported last, or what the platform's list said before the first report.
	loaded map[string]bool
	// servingPhase is what the replica reported last, empty before.
	servingPhase string
	// current is the order under way in the phases AwaitingResponse and Changing.
	current Order
	// uncertain are the orders of unknown fate, those included that the replica has gone past the sequence of.
	uncertain []uncertainOrder

	// trustFrom is the moment before which no report is requested.
	trustFrom time.Time
	// pollAt is when the replica may be polled next; polling is set while a report is outstanding, requested at polledAt.
	pollAt   time.Time
	polling  bool
	polledAt time.Time
	// blockedUntil is when a replica that rejected an order may be ordered again.
	blockedUntil time.Time

	rejected rejection
	// lowerSequenceSince is since when reports have shown a lower sequence than the known one, zero while they do not.
	lowerSequenceSince time.Time
	// mismatches counts the reports in a row that lack what the order under way should have brought.
	mismatches int
}

// rejection is a sequence at which an order met a conflict: until a moment, reports of it are taken for outdated ones.
type rejection struct {
	sequence int64
	until    time.Time
}

// maxMismatches is how many reports in a row that contradict an accepted order end it.
const maxMismatches = 3

// New returns a replica of which nothing is known but what the platform's list says, by which nothing is ordered. Reports
// requested before trustFrom may show what orders of an earlier lease holder have changed since, so none is requested before
// it.
func New(timings *Timings, fence uint64, trustFrom time.Time, listed map[string]bool) *Replica {
	return &Replica{timings: timings, fence: fence, trustFrom: trustFrom, loaded: listed}
}

// Phase is what may be done with the replica.
func (r *Replica) Phase() Phase { return r.phase }

// IsKnown tells whether what the replica has loaded was learned from itself and nothing has made it uncertain since.
func (r *Replica) IsKnown() bool { return r.phase != Unknown }

// PendingChange is the change that was decided and has not ended, if there is one.
func (r *Replica) PendingChange() (change Change, pending bool) {
	return r.current.Change, r.phase == AwaitingResponse || r.phase == Changing
}

// IsReady tells whether an order may be decided now.
func (r *Replica) IsReady(now time.Time) bool {
	return r.phase == Idle && !r.polling && !now.Before(r.blockedUntil)
}

// Decide ties a change to what is known now. It returns false where nothing may be ordered.
func (r *Replica) Decide(change Change, now time.Time) (Order, bool) {
	if !r.IsReady(now) {
		return Order{}, false
	}
	r.phase = AwaitingResponse
	r.current = Order{Change: change, ExpectedSequence: r.sequence, Fence: r.fence}
	return r.current, true
}

// HandleResponse applies the outcome of an order's call. An order that is not the current one changes nothing.
func (r *Replica) HandleResponse(order Order, outcome Outcome, now time.Time) {
	if r.phase != AwaitingResponse || order != r.current {
		return
	}
	switch outcome {
	case NotSent:
		r.phase = Idle
	case Accepted:
		r.advance(now)
	case AlreadyDone:
		r.awaitCompletion(now)
	case Conflict:
		r.rejected = rejection{sequence: order.ExpectedSequence, until: now.Add(r.timings.StaleReportWindow)}
		r.invalidate(now.Add(r.timings.PollInterval))
	case Unreachable:
		r.invalidate(now.Add(r.timings.PollInterval))
	case Fenced, Rejected:
		r.blockedUntil = now.Add(r.timings.RejectionBackoff)
		r.invalidate(r.blockedUntil)
	default:
		r.uncertain = append(r.uncertain, uncertainOrder{Order: order, expiresAt: now.Add(r.timings.MaxOrderLifetime)})
		r.invalidate(now.Add(r.timings.UnknownOutcomeDelay))
	}
}

// advance goes on to the next sequence: the order was taken at the one it named, so no other order decided on that sequence
// ever will be.
func (r *Replica) advance(now time.Time) {
	r.sequence++
	r.awaitCompletion(now)
}

// awaitCompletion waits for reports that show the order carried out.
func (r *Replica) awaitCompletion(now time.Time) {
	r.phase = Changing
	r.mismatches = 0
	r.pollAt = now.Add(r.timings.ReportLag)
}

// invalidate forgets that the replica is known, and has it polled from the time given.
func (r *Replica) invalidate(pollAt time.Time) {
	r.phase = Unknown
	r.pollAt = pollAt
}

// Recheck has an idle replica polled again, since something else contradicts what is known of it.
func (r *Replica) Recheck(now time.Time) {
	if r.phase == Idle && !r.polling {
		r.invalidate(now)
	}
}

// unresolved returns the uncertain orders that the replica may have carried out unseen or may still carry out: it has not
// gone past their sequence. The others are kept too until they can no longer arrive, since a replica that restarts counts
// from zero again and would take them.
func (r *Replica) unresolved() []uncertainOrder {
	var unresolved []uncertainOrder
	for _, order := range r.uncertain {
		if order.ExpectedSequence >= r.sequence {
			unresolved = append(unresolved, order)
		}
	}
	return unresolved
}

// resolveReported drops the uncertain orders whose fate is told by a report that was requested at polledAt and received now.
func (r *Replica) resolveReported(polledAt, now time.Time) {
	shownAt := polledAt.Add(-r.timings.MaxReportAge)
	r.uncertain = slices.DeleteFunc(r.uncertain, func(order uncertainOrder) bool { return order.resolvedBy(shownAt) })
	for index := range r.uncertain {
		order := &r.uncertain[index]
		if order.runningAt.IsZero() && !polledAt.Before(order.expiresAt) {
			order.runningAt = now
		}
	}
}

// resolutionDue tells whether a report requested now would bring an uncertain order that matters nearer to its resolution.
func (r *Replica) resolutionDue(now time.Time) bool {
	shownAt := now.Add(-r.timings.MaxReportAge)
	return slices.ContainsFunc(r.uncertain, func(order uncertainOrder) bool {
		expired := order.runningAt.IsZero() && !now.Before(order.expiresAt)
		return r.matters(order) && (expired || order.resolvedBy(shownAt))
	})
}

// matters tells whether an uncertain order makes a difference: the replica may carry it out, or receive a load that it
// rejects and that takes capacity beside what it has loaded.
func (r *Replica) matters(order uncertainOrder) bool {
	return order.ExpectedSequence >= r.sequence || order.Load && !r.loaded[order.Reference]
}
