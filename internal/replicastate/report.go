package replicastate

import "time"

// PollDue reports whether a report should be requested from the replica now. A replica that executes an order is polled from
// the time set by ExpectCompletion on, an idle one only if that helps to resolve an order whose outcome is unknown.
func (r *Replica) PollDue(now time.Time) bool {
	if r.polling || now.Before(r.pollAt) || now.Before(r.blockedUntil) || now.Before(r.earliestPollAt) {
		return false
	}
	return r.phase == Unknown || r.phase == Changing || r.phase == Idle && r.pollHelpsResolve(now)
}

// ExpectCompletion postpones the poll of a replica that has just accepted an order to the time when the order should be done.
func (r *Replica) ExpectCompletion(at time.Time) {
	if r.phase == Changing && at.After(r.pollAt) {
		r.pollAt = at
	}
}

// PollStarted records that a report was requested. An idle replica's phase is Unknown until the report is adopted.
func (r *Replica) PollStarted(now time.Time) {
	r.polling, r.polledAt = true, now
	if r.phase == Idle {
		r.phase = Unknown
	}
}

// IsPolling reports whether a report was requested and has not been received.
func (r *Replica) IsPolling() bool { return r.polling }

// PollFailed records that the requested report will not be received.
func (r *Replica) PollFailed(now time.Time) {
	r.polling = false
	r.pollAt = now.Add(2 * r.timings.PollInterval)
}

// HandleReport applies a report and returns whether it was adopted. A report that may be older than the known state is not;
// the replica is polled again.
func (r *Replica) HandleReport(report Report, now time.Time) bool {
	r.polling = false
	r.pollAt = now.Add(r.timings.PollInterval)
	if r.phase != Unknown && r.phase != Changing {
		return false
	}
	if report.Busy || r.isStale(report, now) || r.contradictsOrder(report) {
		return false
	}
	r.lowerSequenceSince = time.Time{}
	r.lastConflict = sequenceConflict{}
	r.mismatches = 0
	r.sequence = report.Sequence
	r.loaded = report.Loaded
	r.servingPhase = report.ServingPhase
	r.phase = Idle
	r.resolveReported(r.polledAt, now)
	return true
}

// isStale reports whether the report appears to predate the known state: its sequence number is below the known one, or is
// the one at which an order met a conflict. Both are accepted once they have persisted for the stale report window, because a
// replica that has restarted counts from zero again; the replica rejects an order that is decided on a wrong sequence number.
func (r *Replica) isStale(report Report, now time.Time) bool {
	if report.Sequence == r.lastConflict.sequence && now.Before(r.lastConflict.until) {
		return true
	}
	if report.Sequence >= r.sequence {
		return false
	}
	if r.lowerSequenceSince.IsZero() {
		r.lowerSequenceSince = now
	}
	return now.Sub(r.lowerSequenceSince) < r.timings.StaleReportWindow
}

// contradictsOrder reports whether the report does not show an accepted order done, and fewer than maxMismatches consecutive
// reports have said so.
func (r *Replica) contradictsOrder(report Report) bool {
	if r.phase != Changing || r.showsDone(report, r.current.Change) {
		return false
	}
	r.mismatches++
	return r.mismatches < maxMismatches
}

// showsDone reports whether a report shows a change done.
func (r *Replica) showsDone(report Report, change Change) bool {
	if change.ServingPhase != "" {
		return report.ServingPhase == change.ServingPhase
	}
	return report.Loaded[change.Reference] == change.Load
}

// ServingPhase returns the last reported serving phase; it is empty before the first report.
func (r *Replica) ServingPhase() string { return r.servingPhase }

// TargetPhase returns the serving phase that the replica may switch to, by an order that is in progress or whose outcome is
// unknown, or else the last reported one.
func (r *Replica) TargetPhase() string {
	if change, pending := r.PendingChange(); pending && change.ServingPhase != "" {
		return change.ServingPhase
	}
	for _, order := range r.unresolved() {
		if order.ServingPhase != "" {
			return order.ServingPhase
		}
	}
	return r.servingPhase
}

// IsExecuting reports whether a report shows the replica busy with the order that it has accepted.
func (r *Replica) IsExecuting(report Report) bool {
	return r.phase == Changing && report.Busy && report.Sequence >= r.sequence
}

// HasUnconfirmedOrder reports whether the replica may still accept an order that was decided.
func (r *Replica) HasUnconfirmedOrder() bool {
	return r.phase == AwaitingResponse || len(r.unresolved()) > 0
}

// CertainlyLoaded returns the lower bound of what the replica has loaded: the reported set, without what is unloaded by
// orders that are in progress or may still arrive. The caller must not modify the set.
func (r *Replica) CertainlyLoaded() map[string]bool {
	loaded := r.loaded
	for _, order := range r.unresolved() {
		if order.IsUnload() {
			loaded = applyChange(loaded, order.Change)
		}
	}
	if change, pending := r.PendingChange(); pending && change.IsUnload() {
		loaded = applyChange(loaded, change)
	}
	return loaded
}

// PossiblyLoaded returns what the replica may have loaded beyond CertainlyLoaded: what it reported and an order may have
// unloaded since, and what is loaded by orders that are in progress or may still arrive. It includes loads that the replica
// would reject, so that no other load is ordered that does not fit beside them, whichever arrives first. It is nil if there
// are no such orders.
func (r *Replica) PossiblyLoaded() map[string]bool {
	change, pending := r.PendingChange()
	if len(r.uncertain) == 0 && !pending {
		return nil
	}
	certain := r.CertainlyLoaded()
	possible := map[string]bool{}
	for reference := range r.loaded {
		if !certain[reference] {
			possible[reference] = true
		}
	}
	if pending && change.Load && !certain[change.Reference] {
		possible[change.Reference] = true
	}
	for _, order := range r.uncertain {
		if order.Load && !certain[order.Reference] {
			possible[order.Reference] = true
		}
	}
	return possible
}

// UncertainChanges returns the changes of the orders that the replica may still accept and whose outcome is unknown.
func (r *Replica) UncertainChanges() []Change {
	var changes []Change
	for _, order := range r.unresolved() {
		changes = append(changes, order.Change)
	}
	return changes
}

// Loaded returns the last reported set, or that of the platform's list before the first report. The caller must not modify it.
func (r *Replica) Loaded() map[string]bool { return r.loaded }

// HasPassed reports whether the replica is known to have accepted an order since it had the sequence number: it rejects every other
// order that was decided on it.
func (r *Replica) HasPassed(sequence int64) bool {
	return r.IsKnown() && r.sequence > sequence
}
