package drill

import "time"

// LeaseDuration is how long a drill continues without a renewal of its record.
const LeaseDuration = 5 * time.Second

// State is the state of a drill on one control-plane node: the record, and its deadlines by that node's
// monotonic clock. The record itself contains no absolute times, since the clocks of nodes differ.
type State struct {
	Record
	// Deadline is when the requested duration is up.
	Deadline time.Time
	// LeaseExpiresAt is when the drill ends without a further renewal.
	LeaseExpiresAt time.Time
}

// Adopt returns the state after a committed record was received at now, and whether the state has changed. A
// record older than the current one changes nothing, and a renewal never postpones the deadline: otherwise
// each delay in the transmission of a renewal would prolong the drill.
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

// IsRunning reports whether the drill is running at the given time.
func (s State) IsRunning(now time.Time) bool {
	return s.Running && now.Before(s.Deadline) && now.Before(s.LeaseExpiresAt)
}

// Notice returns the notice for a data plane whose last report is given. It returns nil if there is nothing to
// notify it of: no drill was ever started, or the last one has ended and the data plane reports none.
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
