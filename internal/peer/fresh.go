package peer

import "time"

// ConfirmationLease is how long a confirmation by a majority may be relied on. It is a lease: counted
// from before the question was asked, by the steady clock, and looked at anew for each answer,
// so no freeze or blocked loop outlives it.
const ConfirmationLease = 1100 * time.Millisecond

// ConfirmedAt is when, at the latest, the confirmation of the state told began: all that was acknowledged earlier is
// in it. It is zero if the state was not confirmed, and counts on the clock of who polled.
func (r WatchResponse) ConfirmedAt(sentAt time.Time) time.Time {
	if r.FreshMs <= 0 {
		return time.Time{}
	}
	remaining := time.Duration(r.WaitedMs+r.FreshMs) * time.Millisecond
	return sentAt.Add(remaining - ConfirmationLease)
}

// Fresh says whether the state told still counts as confirmed by a majority. The confirmation
// is a lease: it is counted here from when the poll was sent, plus the time for which it was
// held there, so that an answer which was long on its way is not taken for a fresh one.
func (r WatchResponse) IsFresh(sentAt, now time.Time) bool {
	return isFresh(sentAt, r.WaitedMs+r.FreshMs, r.FreshMs, now)
}

// Fresh says whether the parts told still count as confirmed, see WatchResponse.Fresh.
func (r SubscribeResponse) IsFresh(sentAt, now time.Time) bool {
	return isFresh(sentAt, r.FreshMs, r.FreshMs, now)
}

func isFresh(sentAt time.Time, untilMs, remainingMs int64, now time.Time) bool {
	return remainingMs > 0 && now.Before(sentAt.Add(time.Duration(untilMs)*time.Millisecond))
}
