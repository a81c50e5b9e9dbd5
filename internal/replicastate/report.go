package replicastate

import "time"

// PollDue tells whether the replica should be polled for a report now. One that carries an order out is polled from the
// moment that ExpectCompletion has named, an idle one once that resolves an order of unknown fate.
func (r *Replica) PollDue(now time.Time) bool {
	if r.polling || now.Before(r.pollAt) || now.Before(r.blockedUntil) || now.Before(r.trustFrom) {
		return false
	}
	return r.phase == Unknown || r.phase == Changing || r.phase == Idle && r.resolutionDue(now)
}

// ExpectCompletion puts off the poll of a replica that has just accepted an order to the moment when it should be done.
func (r *Replica) ExpectCompletion(at time.Time) {
	if r.phase == Changing && at.After(r.pollAt) {
		r.pollAt = at
	}
}

// PollStarted records that a report was requested. Until it is received, nothing is known for sure.
func (r *Replica) PollStarted(now time.Time) {
	r.polling, r.polledAt = true, now
	if r.phase == Idle {
		r.phase = Unknown
	}
}

// IsPolling tells whether a report was requested and has not been received.
func (r *Replica) IsPolling() bool { return r.polling }

// PollFailed records that the requested report will not be received.
func (r *Replica) PollFailed(now time.Time) {
	r.polling = false
	r.pollAt = now.Add(2 * r.timings.PollInterval)
}

// HandleReport applies a report, and tells whether it was adopted: one that may be older than what is known is not, and the
// replica is polled again.
func (r *Replica) HandleReport(report Report, now time.Time) bool {
	r.polling = false
	r.pollAt = now.Add(r.timings.PollInterval)
	if r.phase != Unknown && r.phase != Changing {
		return false
	}
	if report.Busy || r.isOutdated(report, now) || r.contradictsOrder(report) {
		return false
	}
	r.lowerSequenceSince = time.Time{}
	r.rejected = rejection{}
	r.mismatches = 0
	r.sequence = report.Sequence
	r.loaded = report.Loaded
	r.servingPhase = report.ServingPhase
	r.phase = Idle
	r.resolveReported(r.polledAt, now)
	return true
}

// isOutdated tells whether the report shows a moment before something that is known: a sequence below the known one, or the
// very sequence at which an order met a conflict. Either is believed once it has lasted, since a replica that has restarted
// counts from zero again; an order decided on a wrong sequence is rejected by the replica.
func (r *Replica) isOutdated(report Report, now time.Time) bool {
	if report.Sequence == r.rejected.sequence && now.Before(r.rejected.until) {
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

// contradictsOrder tells whether the report lacks what an accepted order should have brought, and that has not been reported
// often enough to be believed.
func (r *Replica) contradictsOrder(report Report) bool {
	if r.phase != Changing || r.shows(report, r.current.Change) {
		return false
	}
	r.mismatches++
	return r.mismatches < maxMismatches
}

// shows tells whether a report shows a change done.
func (r *Replica) shows(report Report, change Change) bool {
	if change.ServingPhase != "" {
		return report.ServingPhase == change.ServingPhase
	}
	return report.Loaded[change.Reference] == change.Load
}

// ServingPhase is the part of a generation that the replica reported last that it does; empty before its first report.
func (r *Replica) ServingPhase() string { return r.servingPhase }

// TargetPhase is the phase that the replica has or may yet take: that of a change that is under way or of unknown fate.
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

// IsExecuting tells whether a report shows the replica busy with the order that it has accepted.
func (r *Replica) IsExecuting(report Report) bool {
	return r.phase == Changing && report.Busy && report.Sequence >= r.sequence
}

// HasUnconfirmedOrder tells whether an order that was decided may yet be taken.
func (r *Replica) HasUnconfirmedOrder() bool {
	return r.phase == AwaitingResponse || len(r.unresolved()) > 0
}

// CertainlyLoaded is the lower bound of what the replica has loaded: what it reported, without what an order that was decided
// or may yet arrive unloads. The set must not be changed.
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

// PossiblyLoaded is what the replica may have loaded beyond what it certainly has: what it reported and an order may have
// unloaded since, and what an order that was decided or may yet arrive loads. A load that would be rejected counts too: no
// other may be ordered that does not fit beside it, whichever arrives first. It is nil where there is nothing of the kind.
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

// UncertainChanges returns the changes whose orders may yet arrive.
func (r *Replica) UncertainChanges() []Change {
	var changes []Change
	for _, order := range r.unresolved() {
		changes = append(changes, order.Change)
	}
	return changes
}

// Loaded is what the replica reported last, or what the platform's list said before the first report. The set must not be
// changed.
func (r *Replica) Loaded() map[string]bool { return r.loaded }
