package loadbudget

import (
	"maps"
	"slices"
	"time"
)

// entry is a number of loads that began at a moment or before it.
type entry struct {
	at    time.Time
	loads int
}

// Ledger counts loads from the store that may have begun. A load whose order has no clear answer is
// open: it may begin at any time, so it counts until it is settled and for a window after that.
// The zero value is an empty ledger.
type Ledger struct {
	begun []entry
	open  map[string]int
}

// Order counts a load that is ordered under a name, for example that of its replica.
func (l *Ledger) Order(name string) {
	if l.open == nil {
		l.open = map[string]int{}
	}
	l.open[name]++
}

// Begun notes that the loads ordered under a name have begun at now or before, or never will.
func (l *Ledger) Begun(name string, now time.Time) {
	l.add(now, l.open[name])
	delete(l.open, name)
}

// Refused takes the last load ordered under a name back: its order was refused.
func (l *Ledger) Refused(name string) {
	if l.open[name]--; l.open[name] <= 0 {
		delete(l.open, name)
	}
}

// Inherit counts loads of another holder that began at a moment or before it.
func (l *Ledger) Inherit(loads int, at time.Time) { l.add(at, loads) }

// Settle notes that no open load will begin after now.
func (l *Ledger) Settle(now time.Time) {
	for _, name := range l.Open() {
		l.Begun(name, now)
	}
}

// Open are the names under which loads are ordered whose fate is not known.
func (l *Ledger) Open() []string { return slices.Collect(maps.Keys(l.open)) }

// Count is how many loads may have begun within the window that ends at now.
func (l *Ledger) Count(now time.Time, window time.Duration) int {
	l.begun = slices.DeleteFunc(l.begun, func(one entry) bool { return now.Sub(one.at) >= window })
	return l.Remaining(now, window)
}

// Remaining is how many of the loads counted now will count at a later moment, if no more are ordered.
func (l *Ledger) Remaining(later time.Time, window time.Duration) int {
	total := 0
	for _, one := range l.begun {
		if later.Sub(one.at) < window {
			total += one.loads
		}
	}
	for _, loads := range l.open {
		total += loads
	}
	return total
}

// agedStep is the step in which ages are told, rounded down.
const agedStep = 250 * time.Millisecond

// Aged are the loads that have begun within the window that ends at now, by their least age, the youngest first. Open
// loads are not among them, since they may begin later.
func (l *Ledger) Aged(now time.Time, window time.Duration) []Aged {
	var aged []Aged
	for _, one := range slices.Backward(l.begun) {
		age := max(now.Sub(one.at), 0).Truncate(agedStep)
		if age >= window {
			continue
		}
		position := slices.IndexFunc(aged, func(other Aged) bool { return other.AgeMs == age.Milliseconds() })
		if position < 0 {
			aged = append(aged, Aged{AgeMs: age.Milliseconds()})
			position = len(aged) - 1
		}
		aged[position].Loads += one.loads
	}
	return aged
}

func (l *Ledger) add(at time.Time, loads int) {
	if loads > 0 {
		l.begun = append(l.begun, entry{at: at, loads: loads})
	}
}
