package loadbudget

import "time"

// Slack is how many loads are allowed beyond the weight store's rate.
const Slack = 1

// headroomDivisor is the inverse of the part of all loads, and of the window, that is reserved ahead.
const headroomDivisor = 3

// Bounds is how many loads may start within any Window.
type Bounds struct {
	Loads  int
	Window time.Duration
}

// NewBounds returns the bounds for a store that takes rate loads a second over any period. A load counts for
// maxStartDelay longer than the period, since it may start that much later than it was ordered.
func NewBounds(rate float64, period, maxStartDelay time.Duration) Bounds {
	return Bounds{
		Loads:  int(rate*period.Seconds()) + Slack,
		Window: period + maxStartDelay,
	}
}

// headroom is how many loads are reserved ahead of those that are counted.
func (b Bounds) headroom() int { return (b.Loads + headroomDivisor - 1) / headroomDivisor }

// lookahead is how far ahead loads are reserved that may start only when others have left the window. With
// it, a holder at its bounds reserves several loads by one write.
func (b Bounds) lookahead() time.Duration { return b.Window / headroomDivisor }

// hysteresis is by how much the headroom may be off before the reservation is written again.
func (b Bounds) hysteresis() int { return (b.headroom() + 1) / 2 }
