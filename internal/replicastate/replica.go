package replicastate

import (
	"slices"
	"time"
)

// Timings are the delays and timeouts of a Replica.
type Timings struct {
	// ReportLag is the delay between a change and the poll for a report that should show it.
	ReportLag time.Duration
	// PollInterval is the delay before a replica is polled again.
	PollInterval time.Duration
	// UnknownOutcomeDelay is the delay before the poll that follows an order whose outcome is unknown.
	UnknownOutcomeDelay time.Duration
	// RejectionBackoff is how long a replica that rejected an order is neither polled nor sent another one.
	RejectionBackoff time.Duration
	// MaxOrderLifetime is how long after the end of its call an order may still be in the network.
	MaxOrderLifetime time.Duration
	// MaxReportAge bounds the age of the state in a report at the time when the report was requested.
	MaxReportAge time.Duration
	// StaleReportWindow is how long reports that contradict earlier responses are considered stale.
	StaleReportWindow time.Duration
}

// Phase is the phase of a replica in the cycle of polls and orders.
type Phase int

const (
	// Unknown means that the replica's state is not known and the replica must be polled.
	Unknown Phase = iota
	// Idle means that the replica has reported its state and has no order in progress.
	Idle
	// AwaitingResponse means that an order was decided and the response to it has not been received.
	AwaitingResponse
	// Changing means that the replica has accepted an order and no report has shown it done yet.
	Changing
)

// Replica is what is known about one replica under one grant. It is not safe for concurrent use.
type Replica struct {
	timings  *Timings
	fence    uint64
	phase    Phase
	sequence int64
	// loaded is the last reported set, or that of the platform's list before the first report.
	loaded map[string]bool
	// servingPhase is the last reported phase, empty before the first report.
	servingPhase string
	// current is the order in progress in the phases AwaitingResponse and Changing.
	current Order
	// uncertain lists the orders whose outcome is unknown, including those whose sequence number the replica has passed.
	uncertain []uncertainOrder

	// earliestPollAt is the time before which no report is requested.
	earliestPollAt time.Time
	// pollAt is the earliest time of the next poll; polling is set while a report that was requested at polledAt is
	// outstanding.
	pollAt   time.Time
	polling  bool
	polledAt time.Time
	// blockedUntil is the end of the backoff after a rejected order.
	blockedUntil time.Time

	lastConflict sequenceConflict
	// lowerSequenceSince is when reports began to show a lower sequence number than the known one, zero while they do not.
	lowerSequenceSince time.Time
	// mismatches counts the consecutive reports that do not show the current order done.
	mismatches int
}

// sequenceConflict is a sequence number at which an order ended with Conflict. Reports of it are considered stale until the
// given time.
type sequenceConflict struct {
	sequence int64
	until    time.Time
}

// maxMismatches is how many consecutive reports must contradict an accepted order for the order to be given up.
const maxMismatches = 3

// New returns a replica about which only the entry in the platform's list is known, which is no basis for orders. A report
// requested before earliestPollAt could predate the effect of an earlier lease holder's orders, so none is requested until
// then.
func New(timings *Timings, fence uint64, earliestPollAt time.Time, listed map[string]bool) *Replica {
	return &Replica{timings: timings, fence: fence, earliestPollAt: earliestPollAt, loaded: listed}
}

// Phase returns the replica's phase.
func (r *Replica) Phase() Phase { return r.phase }

// IsKnown reports whether the replica has reported its state and nothing has invalidated that since.
func (r *Replica) IsKnown() bool { return r.phase != Unknown }

// PendingChange returns the change of the order in progress, if there is one.
func (r *Replica) PendingChange() (change Change, pending bool) {
	return r.current.Change, r.phase == AwaitingResponse || r.phase == Changing
}

// IsReady reports whether an order may be decided now.
func (r *Replica) IsReady(now time.Time) bool {
	return r.phase == Idle && !r.polling && !now.Before(r.blockedUntil)
}

// Decide returns an order for a change, based on the current sequence number. It returns false if no order may be decided.
func (r *Replica) Decide(change Change, now time.Time) (Order, bool) {
	if !r.IsReady(now) {
		return Order{}, false
	}
	r.phase = AwaitingResponse
	r.current = Order{Change: change, ExpectedSequence: r.sequence, Fence: r.fence}
	return r.current, true
}

// HandleResponse applies the outcome of the call that sent an order. It ignores orders other than the current one.
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
		r.lastConflict = sequenceConflict{sequence: order.ExpectedSequence, until: now.Add(r.timings.StaleReportWindow)}
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

// advance increments the sequence number: the replica accepted the order at the expected one, so it rejects every other
// order that was decided on it.
func (r *Replica) advance(now time.Time) {
	r.sequence++
	r.awaitCompletion(now)
}

// awaitCompletion enters the phase Changing, which ends with a report that shows the order done.
func (r *Replica) awaitCompletion(now time.Time) {
	r.phase = Changing
	r.mismatches = 0
	r.pollAt = now.Add(r.timings.ReportLag)
}

// invalidate marks the replica's state as unknown, to be polled from the given time on.
func (r *Replica) invalidate(pollAt time.Time) {
	r.phase = Unknown
	r.pollAt = pollAt
}

// Recheck causes an idle replica to be polled again, because another source contradicts its known state.
func (r *Replica) Recheck(now time.Time) {
	if r.phase == Idle && !r.polling {
		r.invalidate(now)
	}
}

// unresolved returns the uncertain orders that the replica may have executed unnoticed or may still execute, because it has
// not passed their sequence number. The others are kept too until they can no longer arrive: a replica that restarts counts
// from zero again and would accept them.
func (r *Replica) unresolved() []uncertainOrder {
	var unresolved []uncertainOrder
	for _, order := range r.uncertain {
		if order.ExpectedSequence >= r.sequence {
			unresolved = append(unresolved, order)
		}
	}
	return unresolved
}

// resolveReported drops the uncertain orders whose outcome is determined by a report that was requested at polledAt and
// received now.
func (r *Replica) resolveReported(polledAt, now time.Time) {
	shownAt := polledAt.Add(-r.timings.MaxReportAge)
	r.uncertain = slices.DeleteFunc(r.uncertain, func(order uncertainOrder) bool { return order.resolvedBy(shownAt) })
	for index := range r.uncertain {
		order := &r.uncertain[index]
		if order.seenRunningAt.IsZero() && !polledAt.Before(order.expiresAt) {
			order.seenRunningAt = now
		}
	}
}

// pollHelpsResolve reports whether a report requested now would resolve a relevant uncertain order, or set its seenRunningAt.
func (r *Replica) pollHelpsResolve(now time.Time) bool {
	shownAt := now.Add(-r.timings.MaxReportAge)
	return slices.ContainsFunc(r.uncertain, func(order uncertainOrder) bool {
		expired := order.seenRunningAt.IsZero() && !now.Before(order.expiresAt)
		return r.isRelevant(order) && (expired || order.resolvedBy(shownAt))
	})
}

// isRelevant reports whether an uncertain order affects decisions: the replica may still execute it, or it is a load that
// PossiblyLoaded counts even though the replica would reject it.
func (r *Replica) isRelevant(order uncertainOrder) bool {
	return order.ExpectedSequence >= r.sequence || order.Load && !r.loaded[order.Reference]
}
