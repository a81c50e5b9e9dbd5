package drill

import "time"

// LeaseDuration is how long a drill goes on without a renewal of its record.
const LeaseDuration = 5 * time.Second

// State is a drill as one control-plane node sees it: the record and its deadlines by that node's
// steady clock. The record itself names no moments, since clocks of machines differ.
type State struct {
	Record
	// Deadline is when the requested duration is up.
	Deadline time.Time
	// LeaseExpiresAt is when the drill lapses without a further renewal.
	LeaseExpiresAt time.Time
}

// Adopt returns the state after a committed record was learned at now, and whether it differs. A record
// that is older than the present one changes nothing, and a renewal never moves the deadline back: a
// drill would otherwise last longer by each delay on the way of its renewals.
func (s State) Adopt(record Record, now time.Time) (State, bool) {
	isOlder := record.Number < s.Number
	isKnown := record.Number == s.Number && record.Renewals <= s.Renewals && s.Number > 0
	if isOlder || isKnown {
		return s, false
	}
	next := State{
		Record:         record,
		Deadline:       now.Add(time.Duration(record.RemainingMs) * time.Millisecond),
		LeaseExpiresAt: now.Add(LeaseDuration),
	}
	if record.Number == s.Number && s.Deadline.Before(next.Deadline) {
		next.Deadline = s.Deadline
	}
	return next, true
}

// IsRunning tells whether the drill goes on at the moment.
func (s State) IsRunning(now time.Time) bool {
	return s.Running && now.Before(s.Deadline) && now.Before(s.LeaseExpiresAt)
}

// Notice returns what a data plane with this last report is notified of, or nil where no drill
// concerns it: none was ever started, or the last one has ended and the data plane reports none.
func (s State) Notice(report *Report, now time.Time) *Notice {
	if s.Number == 0 || !s.Running && report == nil {
		return nil
	}
	remaining := max(s.Deadline.Sub(now), 0)
	return &Notice{
		Number:      s.Number,
		Scope:       s.Scope,
		Share:       s.Share,
		RemainingMs: remaining.Milliseconds(),
		Running:     s.IsRunning(now),
	}
}
