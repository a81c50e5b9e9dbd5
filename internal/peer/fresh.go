package peer

import "time"

// ConfirmationLease is how long a confirmation by a majority may be relied on. It is a lease: counted
// from before the question was asked, by the steady clock, and looked at anew for each answer,
// so no freeze or blocked loop outlives it.
const ConfirmationLease = 1100 * time.Millisecond

// ConfirmedAt is when, at the latest, the confirmation of the state told began: all that was acknowledged earlier is
// in it. It is zero if the state was not confirmed, and counts on the clock of who polled.
func (n News) ConfirmedAt(asked time.Time) time.Time {
	if n.FreshMs <= 0 {
		return time.Time{}
	}
	left := time.Duration(n.HeldMs+n.FreshMs) * time.Millisecond
	return asked.Add(left - ConfirmationLease)
}

// Fresh says whether the state told still counts as confirmed by a majority. The confirmation
// is a lease: it is counted here from when the poll was sent, plus the time for which it was
// held there, so that an answer which was long on its way is not taken for a fresh one.
func (n News) Fresh(asked, now time.Time) bool {
	return fresh(asked, n.HeldMs+n.FreshMs, n.FreshMs, now)
}

// Fresh says whether the parts told still count as confirmed, see News.Fresh.
func (f FollowReply) Fresh(asked, now time.Time) bool { return fresh(asked, f.FreshMs, f.FreshMs, now) }

func fresh(asked time.Time, untilMs, leftMs int64, now time.Time) bool {
	return leftMs > 0 && now.Before(asked.Add(time.Duration(untilMs)*time.Millisecond))
}
