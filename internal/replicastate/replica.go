package replicastate

import (
	"slices"
	"time"
)

// Timings are the bounds by which a Replica waits.
type Timings struct {
	// ReportLag is how long after a change a replica is asked for a report that should show it.
	ReportLag time.Duration
	// BusyPause is the wait before a replica is asked again.
	BusyPause time.Duration
	// UnknownPause is the wait for a report after an order without a clear answer.
	UnknownPause time.Duration
	// RefusedPause is how long a replica that rejects an order is left alone.
	RefusedPause time.Duration
	// Settle is how long after the end of its call the network may hold an order.
	Settle time.Duration
	// ReportAge is how long before the question the moment may lie that a report shows.
	ReportAge time.Duration
	// Distrust is how long reports that contradict what was learned from answers are taken for old ones.
	Distrust time.Duration
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
	timings    *Timings
	fence      uint64
	phase      Phase
	sequence   int64
	held       map[string]bool
	current    Order
	doubtful   []doubtfulOrder
	trustFrom  time.Time
	askAt      time.Time
	asking     bool
	askedAt    time.Time
	blocked    time.Time
	refused    refusal
	lowerSince time.Time
	mismatches int
}

// refusal is a sequence at which an order was refused: reports of it are old ones until the time given.
type refusal struct {
	sequence int64
	until    time.Time
}

// mismatchesNeeded is how many reports against an accepted order end it.
const mismatchesNeeded = 3

// New knows nothing yet but what the platform's list says, which counts neither as held nor as room. Reports asked for
// before trustFrom may show what an earlier holder's orders have changed since, and are not asked for.
func New(timings *Timings, fence uint64, trustFrom time.Time, listed map[string]bool) *Replica {
	return &Replica{timings: timings, fence: fence, trustFrom: trustFrom, held: listed}
}

// Phase is what may be done with the replica.
func (r *Replica) Phase() Phase { return r.phase }

// Known tells whether what the replica holds was learned from itself and nothing has made it doubtful since.
func (r *Replica) Known() bool { return r.phase != Unknown }

// Under is the change that was decided and has not ended, if there is one.
func (r *Replica) Under() (Change, bool) {
	return r.current.Change, r.phase == Ordered || r.phase == Changing
}

// Ready tells whether an order may be decided now.
func (r *Replica) Ready(now time.Time) bool {
	return r.phase == Idle && !r.asking && !now.Before(r.blocked)
}

// Decide ties a change to what is known now. It reports false where nothing may be ordered.
func (r *Replica) Decide(change Change, now time.Time) (Order, bool) {
	if !r.Ready(now) {
		return Order{}, false
	}
	r.phase = Ordered
	r.current = Order{Change: change, Expected: r.sequence, Fence: r.fence}
	return r.current, true
}

// Answer takes in how an order's call ended. An order that is not the current one changes nothing.
func (r *Replica) Answer(order Order, outcome Outcome, now time.Time) {
	if r.phase != Ordered || order != r.current {
		return
	}
	switch outcome {
	case NotSent:
		r.phase = Idle
	case Accepted:
		r.accept(now)
	case AlreadyDone:
		r.await(now)
	case Conflict:
		r.refused = refusal{sequence: order.Expected, until: now.Add(r.timings.Distrust)}
		r.doubt(now.Add(r.timings.BusyPause))
	case Unreached:
		r.doubt(now.Add(r.timings.BusyPause))
	case Fenced, Rejected:
		r.blocked = now.Add(r.timings.RefusedPause)
		r.doubt(r.blocked)
	default:
		r.doubtful = append(r.doubtful, doubtfulOrder{Order: order, until: now.Add(r.timings.Settle)})
		r.doubt(now.Add(r.timings.UnknownPause))
	}
}

// accept goes on to the next sequence: the order was taken at the one it named, so no other order decided on that
// sequence ever will be.
func (r *Replica) accept(now time.Time) {
	r.sequence++
	r.await(now)
}

// await waits for reports that show the order carried out.
func (r *Replica) await(now time.Time) {
	r.phase = Changing
	r.mismatches = 0
	r.askAt = now.Add(r.timings.ReportLag)
}

// doubt forgets that the replica is known, and has it asked from the time given.
func (r *Replica) doubt(askAt time.Time) {
	r.phase = Unknown
	r.askAt = askAt
}

// Recheck has an idle replica asked again, since something else contradicts what is known of it.
func (r *Replica) Recheck(now time.Time) {
	if r.phase == Idle && !r.asking {
		r.doubt(now)
	}
}

// mayArrive are the doubtful orders that the replica may have carried out unseen or may still carry out: it has not gone
// past their sequence. The others are kept too until they can no longer arrive, since a replica that restarts counts from
// zero again and would take them.
func (r *Replica) mayArrive() []doubtfulOrder {
	var open []doubtfulOrder
	for _, order := range r.doubtful {
		if order.Expected >= r.sequence {
			open = append(open, order)
		}
	}
	return open
}

// settleShown drops the doubtful orders whose fate a report shows that was asked for at a time and came now.
func (r *Replica) settleShown(askedAt, now time.Time) {
	shown := askedAt.Add(-r.timings.ReportAge)
	r.doubtful = slices.DeleteFunc(r.doubtful, func(order doubtfulOrder) bool { return order.settledBy(shown) })
	for index := range r.doubtful {
		order := &r.doubtful[index]
		if order.awake.IsZero() && !askedAt.Before(order.until) {
			order.awake = now
		}
	}
}

// settleDue tells whether a report that is asked for now would bring the end of a doubtful order nearer that counts.
func (r *Replica) settleDue(now time.Time) bool {
	shown := now.Add(-r.timings.ReportAge)
	return slices.ContainsFunc(r.doubtful, func(order doubtfulOrder) bool {
		return r.counts(order) && (order.awake.IsZero() && !now.Before(order.until) || order.settledBy(shown))
	})
}

// counts tells whether a doubtful order makes a difference: the replica may carry it out, or receive a load that it
// refuses and that takes room beside what it holds.
func (r *Replica) counts(order doubtfulOrder) bool {
	return order.Expected >= r.sequence || order.Load && !r.held[order.Reference]
}
