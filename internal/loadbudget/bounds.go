package loadbudget

import "time"

// slack is how many loads are allowed beyond the weight store's rate with its overage. The store takes one more,
// which is left to a load that was certain to come from a disk and does not.
const slack = 2

// headroomDivisor is the inverse of the part of all loads, and of the window, that is reserved ahead.
const headroomDivisor = 3

// StoreLimit is the limit that the weight store sets: within any Period, at most Rate loads a second times Overage
// may start, and three more.
type StoreLimit struct {
	Rate    float64
	Period  time.Duration
	Overage float64 // less than 1 counts as 1
}

// StartDelays are how much later than they are counted loads may start.
type StartDelays struct {
	// Accepted is that of a load whose order was accepted.
	Accepted time.Duration
	// Uncertain is that of a load whose order was sent by a holder that has stopped since, and has no clear answer.
	Uncertain time.Duration
}

// Bounds is how many loads may start within any Window.
type Bounds struct {
	Loads  int
	Window time.Duration
	// UncertainDelay is how long after its holder has stopped a load without a clear answer may still start.
	UncertainDelay time.Duration
}

// NewBounds returns the bounds for a store's limit. A load counts for longer than the period by as much as it may
// start later than its order was accepted.
func NewBounds(limit StoreLimit, delays StartDelays) Bounds {
	return Bounds{
		Loads:          int(limit.Rate*limit.Period.Seconds()*max(limit.Overage, 1)) + slack,
		Window:         limit.Period + delays.Accepted,
		UncertainDelay: delays.Uncertain,
	}
}

// headroom is how many loads are reserved ahead of those that are counted.
func (b Bounds) headroom() int { return (b.Loads + headroomDivisor - 1) / headroomDivisor }

// lookahead is how far ahead loads are reserved that may start only when others have left the window. With
// it, a holder at its bounds reserves several loads by one write.
func (b Bounds) lookahead() time.Duration { return b.Window / headroomDivisor }

// hysteresis is by how much the headroom may be off before the reservation is written again.
func (b Bounds) hysteresis() int { return (b.headroom() + 1) / 2 }
