// Package loadbudget keeps the rate of the store of weights across all holders of the duty to place.
//
// A LoadLog counts the loads that may have begun within the trailing window. A Budget adds the
// reservation, the upper bound of that count which stands in the lease's record, so that whoever
// holds the lease next can count what this holder may have begun. Everything here is pure: the
// clock and the bounds are arguments, and the caller writes what Budget.Propose asks for.
//
// The package never writes a record, never measures time and knows nothing of replicas.
// docs/load-budget.md has the argument. Start reading at Budget.
package loadbudget

import "time"

// Slack is how many loads are allowed beyond the store's rate.
const Slack = 1

// Bounds is how many loads may begin within any Window.
type Bounds struct {
	Loads  int
	Window time.Duration
}

// NewBounds are the bounds for a store that takes rate loads a second over any period. A load counts
// for transit longer than the period, since it may begin that much later than it was ordered.
func NewBounds(rate float64, period, transit time.Duration) Bounds {
	return Bounds{Loads: int(rate*period.Seconds()) + Slack, Window: period + transit}
}

// headroomDivisor is the part of all loads that is reserved ahead.
const headroomDivisor = 3

// headroom is how many loads are reserved ahead of those that are counted.
func (b Bounds) headroom() int { return (b.Loads + headroomDivisor - 1) / headroomDivisor }

// lookahead is how far ahead loads are reserved that may begin only when others have left the window. So a holder at its
// bounds reserves several at a time.
func (b Bounds) lookahead() time.Duration { return b.Window / headroomDivisor }

// hysteresis is by how much the headroom may be off before the reservation is written anew.
func (b Bounds) hysteresis() int { return (b.headroom() + 1) / 2 }
