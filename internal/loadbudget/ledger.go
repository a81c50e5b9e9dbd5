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
	total := 0
	for _, one := range l.begun {
		total += one.loads
	}
	for _, loads := range l.open {
		total += loads
	}
	return total
}

func (l *Ledger) add(at time.Time, loads int) {
	if loads > 0 {
		l.begun = append(l.begun, entry{at: at, loads: loads})
	}
}
