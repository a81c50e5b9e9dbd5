package replicastate

import "time"

// AskDue tells whether the replica should be asked for a report now. One that carries an order out is asked from the
// moment that ExpectDone has named, an idle one once that settles what became of an order without an answer.
func (r *Replica) AskDue(now time.Time) bool {
	if r.asking || now.Before(r.askAt) || now.Before(r.blocked) || now.Before(r.trustFrom) {
		return false
	}
	return r.phase == Unknown || r.phase == Changing || r.phase == Idle && r.settleDue(now)
}

// ExpectDone puts off the question of a replica that has just accepted an order to the moment when it should be done.
func (r *Replica) ExpectDone(at time.Time) {
	if r.phase == Changing && at.After(r.askAt) {
		r.askAt = at
	}
}

// AskStarted notes that a report was asked for. Until it comes, nothing is known for sure.
func (r *Replica) AskStarted(now time.Time) {
	r.asking, r.askedAt = true, now
	if r.phase == Idle {
		r.phase = Unknown
	}
}

// Asking tells whether a report was asked for and has not come.
func (r *Replica) Asking() bool { return r.asking }

// AskFailed notes that the report did not come.
func (r *Replica) AskFailed(now time.Time) {
	r.asking = false
	r.askAt = now.Add(2 * r.timings.BusyPause)
}

// Reported takes in a report, and tells whether it was adopted: one that may be older than what is known is not, and
// the replica is asked again.
func (r *Replica) Reported(report Report, now time.Time) bool {
	r.asking = false
	r.askAt = now.Add(r.timings.BusyPause)
	if r.phase != Unknown && r.phase != Changing {
		return false
	}
	if report.Busy || r.isOutdated(report, now) || r.contradictsOrder(report) {
		return false
	}
	r.lowerSince = time.Time{}
	r.refused = refusal{}
	r.mismatches = 0
	r.sequence = report.Sequence
	r.held = report.Held
	r.phase = Idle
	r.settleShown(r.askedAt, now)
	return true
}

// isOutdated tells whether the report shows a moment before something that is known: a sequence below the known one, or
// the very sequence at which an order was refused. Either is believed once it has lasted, since a replica that has
// restarted counts from zero again; an order decided on a wrong sequence is refused by the replica.
func (r *Replica) isOutdated(report Report, now time.Time) bool {
	if report.Sequence == r.refused.sequence && now.Before(r.refused.until) {
		return true
	}
	if report.Sequence >= r.sequence {
		return false
	}
	if r.lowerSince.IsZero() {
		r.lowerSince = now
	}
	return now.Sub(r.lowerSince) < r.timings.Distrust
}

// contradictsOrder tells whether the report lacks what an accepted order should have brought, and has not come often
// enough to be believed.
func (r *Replica) contradictsOrder(report Report) bool {
	if r.phase != Changing || report.Held[r.current.Reference] == r.current.Load {
		return false
	}
	r.mismatches++
	return r.mismatches < mismatchesNeeded
}

// CarriesOut tells whether a report shows the replica busy with the order that it has accepted.
func (r *Replica) CarriesOut(report Report) bool {
	return r.phase == Changing && report.Busy && report.Sequence >= r.sequence
}

// MayBegin tells whether an order that was decided may yet be taken.
func (r *Replica) MayBegin() bool {
	return r.phase == Ordered || len(r.mayArrive()) > 0
}

// SurelyHeld is the lower bound of what the replica holds: what it reported, without what an order that was decided or
// may yet arrive unloads. The set must not be changed.
func (r *Replica) SurelyHeld() map[string]bool {
	held := r.held
	for _, order := range r.mayArrive() {
		if !order.Load {
			held = after(held, order.Change)
		}
	}
	if change, under := r.Under(); under && !change.Load {
		held = after(held, change)
	}
	return held
}

// MayHold is what the replica may hold beyond what it surely holds: what it reported and an order may have unloaded
// since, and what an order that was decided or may yet arrive loads. A load that would be refused counts too: no other
// may be ordered that finds no room beside it, whichever comes first. It is nil where there is nothing of the kind.
func (r *Replica) MayHold() map[string]bool {
	change, under := r.Under()
	if len(r.doubtful) == 0 && !under {
		return nil
	}
	sure := r.SurelyHeld()
	found := map[string]bool{}
	for reference := range r.held {
		if !sure[reference] {
			found[reference] = true
		}
	}
	if under && change.Load && !sure[change.Reference] {
		found[change.Reference] = true
	}
	for _, order := range r.doubtful {
		if order.Load && !sure[order.Reference] {
			found[order.Reference] = true
		}
	}
	return found
}

// Doubtful lists the changes whose orders may yet arrive.
func (r *Replica) Doubtful() []Change {
	var changes []Change
	for _, order := range r.mayArrive() {
		changes = append(changes, order.Change)
	}
	return changes
}

// Held is what the replica reported last, or what the platform's list said before. The set must not be changed.
func (r *Replica) Held() map[string]bool { return r.held }
