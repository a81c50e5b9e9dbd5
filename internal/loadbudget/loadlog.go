package loadbudget

import (
	"maps"
	"slices"
	"time"
)

// ageResolution is the unit to which ages are rounded down. Rounding up would let loads leave a successor's window too
// early.
const ageResolution = 250 * time.Millisecond

// startedLoads is a number of loads that started at startedBy or before.
type startedLoads struct {
	startedBy time.Time
	loads     int
}

// LoadLog counts loads from the model store that may have started. A load whose order has no clear answer is pending: it may
// start at any time, so it counts until its outcome is known and for one window after that. The zero value is an empty log.
type LoadLog struct {
	started []startedLoads
	pending map[string]int
}

// RecordOrdered counts a pending load under a name, for example that of its replica.
func (l *LoadLog) RecordOrdered(name string) {
	if l.pending == nil {
		l.pending = map[string]int{}
	}
	l.pending[name]++
}

// RecordStarted records that the pending loads under a name started at now or before, or never will.
func (l *LoadLog) RecordStarted(name string, now time.Time) {
	l.AddStarted(l.pending[name], now)
	delete(l.pending, name)
}

// RecordRejected removes a pending load under a name, since its order was rejected.
func (l *LoadLog) RecordRejected(name string) {
	if l.pending[name]--; l.pending[name] <= 0 {
		delete(l.pending, name)
	}
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

// ResolvePending counts all pending loads as started by now, since none will start later.
func (l *LoadLog) ResolvePending(now time.Time) {
	for _, name := range l.Pending() {
		l.RecordStarted(name, now)
	}
}

// Pending returns the names with pending loads, in no particular order.
func (l *LoadLog) Pending() []string { return slices.Collect(maps.Keys(l.pending)) }

// Count returns how many loads may have started within the window that ends at now. It drops those that have left the
// window.
func (l *LoadLog) Count(now time.Time, window time.Duration) int {
	l.started = slices.DeleteFunc(l.started, func(entry startedLoads) bool {
		return now.Sub(entry.startedBy) >= window
	})
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
	for _, loads := range l.pending {
		total += loads
	}
	return total
}

// ByAge returns the loads that have started within the window that ends at now, grouped by their least age, the youngest
// first. It leaves out pending loads, since they may start later.
func (l *LoadLog) ByAge(now time.Time, window time.Duration) []AgedLoads {
	var aged []AgedLoads
	for _, entry := range slices.Backward(l.started) {
		age := max(now.Sub(entry.startedBy), 0).Truncate(ageResolution)
		if age >= window {
			continue
		}
		position := slices.IndexFunc(aged, func(other AgedLoads) bool { return other.AgeMs == age.Milliseconds() })
		if position < 0 {
			position = len(aged)
			aged = append(aged, AgedLoads{AgeMs: age.Milliseconds()})
		}
		aged[position].Loads += entry.loads
	}
	return aged
}
