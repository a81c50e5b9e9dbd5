package loadbudget

import (
	"slices"
	"time"
)

// ageResolution is the unit to which ages are rounded down. Rounding up would let loads leave a successor's window too early.
const ageResolution = 250 * time.Millisecond

// startedLoads is a number of loads that started at startedBy or before.
type startedLoads struct {
	startedBy time.Time
	loads     int
}

// pendingLoads holds numbers of ordered loads whose outcome is not known.
type pendingLoads struct {
	// inFlight are loads whose calls have not ended.
	inFlight int
	// unanswered are loads whose calls have ended without an answer. They start at startBy at the latest.
	unanswered int
	startBy    time.Time
	// sequence is the highest sequence number of the replica that an unanswered order was decided on.
	sequence int64
}

// LoadLog counts loads from the model store that may have started. A load whose order has no clear answer is pending: it may
// start at any time, so it counts until its outcome is known and for one window after that. The zero value is an empty log.
type LoadLog struct {
	started []startedLoads
	pending map[string]pendingLoads
}

// RecordOrdered counts a pending load under a name, for example that of its replica.
func (l *LoadLog) RecordOrdered(name string) {
	if l.pending == nil {
		l.pending = map[string]pendingLoads{}
	}
	pending := l.pending[name]
	pending.inFlight++
	l.pending[name] = pending
}

// RecordUnanswered records that the call for a load under a name has ended without an answer. The order was decided on the replica's
// sequence number, and the load starts at startBy at the latest.
func (l *LoadLog) RecordUnanswered(name string, sequence int64, startBy time.Time) {
	pending := l.pending[name]
	if pending.inFlight == 0 {
		return
	}
	pending.unanswered += pending.inFlight
	pending.inFlight = 0
	pending.sequence, pending.startBy = max(pending.sequence, sequence), startBy
	l.pending[name] = pending
}

// RecordStarted records that the pending loads under a name started at now or before, or never will.
func (l *LoadLog) RecordStarted(name string, now time.Time) {
	pending := l.pending[name]
	l.AddStarted(pending.inFlight+pending.unanswered, now)
	delete(l.pending, name)
}

// RecordInFlightStarted records that the loads under a name whose calls are in flight started at now or before, or never will.
func (l *LoadLog) RecordInFlightStarted(name string, now time.Time) {
	pending := l.pending[name]
	l.AddStarted(pending.inFlight, now)
	pending.inFlight = 0
	l.store(name, pending)
}

// RecordRejected removes a load under a name whose call is in flight, since its order was rejected.
func (l *LoadLog) RecordRejected(name string) {
	pending := l.pending[name]
	pending.inFlight = max(pending.inFlight-1, 0)
	l.store(name, pending)
}

// store replaces the pending loads under a name.
func (l *LoadLog) store(name string, pending pendingLoads) {
	if pending.inFlight+pending.unanswered == 0 {
		delete(l.pending, name)
		return
	}
	l.pending[name] = pending
}

// AddStarted counts loads that started at startedBy or before without a call of RecordOrdered.
func (l *LoadLog) AddStarted(loads int, startedBy time.Time) {
	if loads > 0 {
		l.started = append(l.started, startedLoads{startedBy: startedBy, loads: loads})
	}
}

// Withdraw removes one load that was counted as started by exactly startedBy and has proven not to come from the model store.
// It does nothing if that load has left the log.
func (l *LoadLog) Withdraw(startedBy time.Time) {
	for index := range l.started {
		entry := &l.started[index]
		if !entry.startedBy.Equal(startedBy) {
			continue
		}
		if entry.loads--; entry.loads == 0 {
			l.started = slices.Delete(l.started, index, index+1)
		}
		return
	}
}

// ResolvePending counts the loads whose calls are in flight as started by now, since none will start later, and the unanswered ones
// as started when they start at the latest.
func (l *LoadLog) ResolvePending(now time.Time) {
	for name, pending := range l.pending {
		l.AddStarted(pending.inFlight, now)
		l.AddStarted(pending.unanswered, pending.startBy)
		delete(l.pending, name)
	}
}

// InFlight returns the names with loads whose calls are in flight, in no particular order.
func (l *LoadLog) InFlight() (names []string) {
	for name, pending := range l.pending {
		if pending.inFlight > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Unanswered returns the names with unanswered loads, with the highest sequence number that one was decided on.
func (l *LoadLog) Unanswered() map[string]int64 {
	unanswered := map[string]int64{}
	for name, pending := range l.pending {
		if pending.unanswered > 0 {
			unanswered[name] = pending.sequence
		}
	}
	return unanswered
}

// Count returns how many loads may have started within the window that ends at now. It drops those that have left the
// window.
func (l *LoadLog) Count(now time.Time, window time.Duration) int {
	l.started = slices.DeleteFunc(l.started, func(entry startedLoads) bool {
		return now.Sub(entry.startedBy) >= window
	})
	for name, pending := range l.pending {
		if pending.unanswered > 0 && now.Sub(pending.startBy) >= window {
			pending.unanswered = 0
			l.store(name, pending)
		}
	}
	return l.Remaining(now, window)
}

// Remaining returns how many of the loads counted now will still count at a later time if no more are ordered.
func (l *LoadLog) Remaining(later time.Time, window time.Duration) int {
	total := 0
	for _, entry := range l.started {
		if later.Sub(entry.startedBy) < window {
			total += entry.loads
		}
	}
	for _, pending := range l.pending {
		total += pending.inFlight
		if later.Sub(pending.startBy) < window {
			total += pending.unanswered
		}
	}
	return total
}

// ByAge returns the loads that have started within the window that ends at now and the unanswered ones, grouped by their least age,
// which is negative for those that may start later. It leaves out loads whose calls are in flight.
func (l *LoadLog) ByAge(now time.Time, window time.Duration) []AgedLoads {
	var aged []AgedLoads
	add := func(loads int, startedBy time.Time) {
		age := roundDown(now.Sub(startedBy))
		if age >= window {
			return
		}
		position := slices.IndexFunc(aged, func(other AgedLoads) bool { return other.AgeMs == age.Milliseconds() })
		if position < 0 {
			position = len(aged)
			aged = append(aged, AgedLoads{AgeMs: age.Milliseconds()})
		}
		aged[position].Loads += loads
	}
	for _, entry := range slices.Backward(l.started) {
		add(entry.loads, entry.startedBy)
	}
	for _, pending := range l.pending {
		if pending.unanswered > 0 {
			add(pending.unanswered, pending.startBy)
		}
	}
	return aged
}

// roundDown rounds an age, which may be negative, down to ageResolution.
func roundDown(age time.Duration) time.Duration {
	rounded := age.Truncate(ageResolution)
	if rounded > age {
		rounded -= ageResolution
	}
	return rounded
}
