package loadbudget

import (
	"maps"
	"slices"
	"time"
)

// startedLoads is a number of loads that began at a moment or before it.
type startedLoads struct {
	startedBy time.Time
	loads     int
}

// LoadLog counts loads from the store that may have begun. A load whose order has no clear answer is
// open: it may begin at any time, so it counts until it is settled and for a window after that.
// The zero value is an empty ledger.
type LoadLog struct {
	started []startedLoads
	pending map[string]int
}

// Order counts a load that is ordered under a name, for example that of its replica.
func (l *LoadLog) MarkOrdered(name string) {
	if l.pending == nil {
		l.pending = map[string]int{}
	}
	l.pending[name]++
}

// Begun notes that the loads ordered under a name have begun at now or before, or never will.
func (l *LoadLog) MarkStarted(name string, now time.Time) {
	l.add(now, l.pending[name])
	delete(l.pending, name)
}

// Refused takes the last load ordered under a name back: its order was refused.
func (l *LoadLog) MarkRejected(name string) {
	if l.pending[name]--; l.pending[name] <= 0 {
		delete(l.pending, name)
	}
}

// Inherit counts loads of another holder that began at a moment or before it.
func (l *LoadLog) AddStarted(loads int, at time.Time) { l.add(at, loads) }

// Settle notes that no open load will begin after now.
func (l *LoadLog) ResolvePending(now time.Time) {
	for _, name := range l.Pending() {
		l.MarkStarted(name, now)
	}
}

// Open are the names under which loads are ordered whose fate is not known.
func (l *LoadLog) Pending() []string { return slices.Collect(maps.Keys(l.pending)) }

// Count is how many loads may have begun within the window that ends at now.
func (l *LoadLog) Count(now time.Time, window time.Duration) int {
	l.started = slices.DeleteFunc(l.started, func(loads startedLoads) bool { return now.Sub(loads.startedBy) >= window })
	return l.Remaining(now, window)
}

// Remaining is how many of the loads counted now will count at a later moment, if no more are ordered.
func (l *LoadLog) Remaining(later time.Time, window time.Duration) int {
	total := 0
	for _, one := range l.started {
		if later.Sub(one.startedBy) < window {
			total += one.loads
		}
	}
	for _, loads := range l.pending {
		total += loads
	}
	return total
}

// ageResolution is the step in which ages are told, rounded down.
const ageResolution = 250 * time.Millisecond

// AgedLoads are the loads that have begun within the window that ends at now, by their least age, the youngest first. Open
// loads are not among them, since they may begin later.
func (l *LoadLog) ByAge(now time.Time, window time.Duration) []AgedLoads {
	var aged []AgedLoads
	for _, loads := range slices.Backward(l.started) {
		age := max(now.Sub(loads.startedBy), 0).Truncate(ageResolution)
		if age >= window {
			continue
		}
		position := slices.IndexFunc(aged, func(other AgedLoads) bool { return other.AgeMs == age.Milliseconds() })
		if position < 0 {
			aged = append(aged, AgedLoads{AgeMs: age.Milliseconds()})
			position = len(aged) - 1
		}
		aged[position].Loads += loads.loads
	}
	return aged
}

func (l *LoadLog) add(at time.Time, loads int) {
	if loads > 0 {
		l.started = append(l.started, startedLoads{startedBy: at, loads: loads})
	}
}
