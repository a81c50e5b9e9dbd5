package replicastate

import (
	"slices"
	"time"
)

// Timings are the bounds by which a Replica waits.
type Timings struct {
	// ReportLag is how long after a change a replica is asked for a report that should show it.
	ReportLag time.Duration
	// PollInterval is the wait before a replica is asked again.
	PollInterval time.Duration
	// UnknownFateDelay is the wait for a report after an order without a clear answer.
	UnknownFateDelay time.Duration
	// RejectedBackoff is how long a replica that rejects an order is left alone.
	RejectedBackoff time.Duration
	// Settle is how long after the end of its call the network may hold an order.
	MaxOrderLifetime time.Duration
	// MaxReportAge is how long before the question the moment may lie that a report shows.
	MaxReportAge time.Duration
	// Distrust is how long reports that contradict what was learned from answers are taken for old ones.
	DistrustPeriod time.Duration
}

// Phase says what may be done with a replica.
type Phase int

const (
	// Unknown is a replica of which no report counts: it must be asked.
	Unknown Phase = iota
	// Idle is a replica that has said what it holds and has no order under way.
	Idle
	// Ordered is a replica with an order that was decided and not yet answered.
	Ordered
	// Changing is a replica that carries an order out.
	Changing
)

// Replica is the knowledge of one replica under one grant. It is used by one goroutine.
type Replica struct {
	timings            *Timings
	fence              uint64
	phase              Phase
	sequence           int64
	loaded             map[string]bool
	current            Order
	uncertain          []uncertainOrder
	trustFrom          time.Time
	pollAt             time.Time
	polling            bool
	polledAt           time.Time
	blockedUntil       time.Time
	rejected           rejection
	lowerSequenceSince time.Time
	mismatches         int
}

// rejection is a sequence at which an order was refused: reports of it are old ones until the time given.
type rejection struct {
	sequence int64
	until    time.Time
}

// maxMismatches is how many reports against an accepted order end it.
const maxMismatches = 3

// New knows nothing yet but what the platform's list says, which counts neither as held nor as room. Reports asked for
// before trustFrom may show what an earlier holder's orders have changed since, and are not asked for.
func New(timings *Timings, fence uint64, trustFrom time.Time, listed map[string]bool) *Replica {
	return &Replica{timings: timings, fence: fence, trustFrom: trustFrom, loaded: listed}
}

// Phase is what may be done with the replica.
func (r *Replica) Phase() Phase { return r.phase }

// Known tells whether what the replica holds was learned from itself and nothing has made it doubtful since.
func (r *Replica) IsKnown() bool { return r.phase != Unknown }

// Under is the change that was decided and has not ended, if there is one.
func (r *Replica) PendingChange() (Change, bool) {
	return r.current.Change, r.phase == Ordered || r.phase == Changing
}

// Ready tells whether an order may be decided now.
func (r *Replica) IsReady(now time.Time) bool {
	return r.phase == Idle && !r.polling && !now.Before(r.blockedUntil)
}

// Decide ties a change to what is known now. It reports false where nothing may be ordered.
func (r *Replica) Decide(change Change, now time.Time) (Order, bool) {
	if !r.IsReady(now) {
		return Order{}, false
	}
	r.phase = Ordered
	r.current = Order{Change: change, Expected: r.sequence, Fence: r.fence}
	return r.current, true
}

// Answer takes in how an order's call ended. An order that is not the current one changes nothing.
func (r *Replica) HandleResponse(order Order, outcome Outcome, now time.Time) {
	if r.phase != Ordered || order != r.current {
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
		r.rejected = rejection{sequence: order.Expected, until: now.Add(r.timings.DistrustPeriod)}
		r.invalidate(now.Add(r.timings.PollInterval))
	case Unreached:
		r.invalidate(now.Add(r.timings.PollInterval))
	case Fenced, Rejected:
		r.blockedUntil = now.Add(r.timings.RejectedBackoff)
		r.invalidate(r.blockedUntil)
	default:
		r.uncertain = append(r.uncertain, uncertainOrder{Order: order, expiresAt: now.Add(r.timings.MaxOrderLifetime)})
		r.invalidate(now.Add(r.timings.UnknownFateDelay))
	}
}

// accept goes on to the next sequence: the order was taken at the one it named, so no other order decided on that
// sequence ever will be.
func (r *Replica) advance(now time.Time) {
	r.sequence++
	r.awaitCompletion(now)
}

// await waits for reports that show the order carried out.
func (r *Replica) awaitCompletion(now time.Time) {
	r.phase = Changing
	r.mismatches = 0
	r.pollAt = now.Add(r.timings.ReportLag)
}

// doubt forgets that the replica is known, and has it asked from the time given.
func (r *Replica) invalidate(pollAt time.Time) {
	r.phase = Unknown
	r.pollAt = pollAt
}

// Recheck has an idle replica asked again, since something else contradicts what is known of it.
func (r *Replica) Recheck(now time.Time) {
	if r.phase == Idle && !r.polling {
		r.invalidate(now)
	}
}

// unresolved are the doubtful orders that the replica may have carried out unseen or may still carry out: it has not gone
// past their sequence. The others are kept too until they can no longer arrive, since a replica that restarts counts from
// zero again and would take them.
func (r *Replica) unresolved() []uncertainOrder {
	var unresolved []uncertainOrder
	for _, order := range r.uncertain {
		if order.Expected >= r.sequence {
			unresolved = append(unresolved, order)
		}
	}
	return unresolved
}

// resolveReported drops the doubtful orders whose fate a report shows that was asked for at a time and came now.
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

// resolutionDue tells whether a report that is asked for now would bring the end of a doubtful order nearer that counts.
func (r *Replica) resolutionDue(now time.Time) bool {
	shownAt := now.Add(-r.timings.MaxReportAge)
	return slices.ContainsFunc(r.uncertain, func(order uncertainOrder) bool {
		return r.matters(order) && (order.runningAt.IsZero() && !now.Before(order.expiresAt) || order.resolvedBy(shownAt))
	})
}

// counts tells whether a doubtful order makes a difference: the replica may carry it out, or receive a load that it
// refuses and that takes room beside what it holds.
func (r *Replica) matters(order uncertainOrder) bool {
	return order.Expected >= r.sequence || order.Load && !r.loaded[order.Reference]
}
