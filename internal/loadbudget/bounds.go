package loadbudget

import "time"

// slack is how many loads are allowed beyond the model store's rate with its overage. The store allows one more, which is
// kept for a load that was expected with certainty to come from a replica's disk and comes from the store instead.
const slack = 2

// headroomDivisor is the inverse of the share of Bounds.Loads, and of Bounds.Window, that is reserved ahead.
const headroomDivisor = 3

// StoreLimit is the rate limit of the model store: within any Period, at most Rate * Period * Overage + 3 loads may start.
type StoreLimit struct {
	Rate    float64 // loads per second
	Period  time.Duration
	Overage float64 // factor; less than 1 counts as 1
}

// StartDelays are the longest times by which loads may start later than they are counted.
type StartDelays struct {
	// Accepted is the delay of a load whose order was accepted.
	Accepted time.Duration
	// Uncertain is the delay of a load without a clear answer whose order was sent by a lease holder that has stopped since.
	Uncertain time.Duration
}

// Bounds are the bounds that a Budget keeps: at most Loads may start within any Window.
type Bounds struct {
	Loads  int
	Window time.Duration
	// UncertainDelay is how long a load without a clear answer may still start after the lease holder that ordered it has stopped.
	UncertainDelay time.Duration
}

// NewBounds returns the bounds for a store's limit. The window is longer than the period by delays.Accepted, because a load
// may start that much later than it is counted.
func NewBounds(limit StoreLimit, delays StartDelays) Bounds {
	return Bounds{
		Loads:          int(limit.Rate*limit.Period.Seconds()*max(limit.Overage, 1)) + slack,
		Window:         limit.Period + delays.Accepted,
		UncertainDelay: delays.Uncertain,
	}
}

// headroom returns how many loads are reserved in addition to those that are counted.
func (b Bounds) headroom() int { return (b.Loads + headroomDivisor - 1) / headroomDivisor }

// lookahead returns how far ahead loads are reserved that may start only when others have left the window. With it, a lease
// holder at its bounds reserves several loads by one write.
func (b Bounds) lookahead() time.Duration { return b.Window / headroomDivisor }

// hysteresis returns by how many loads the headroom may be off before the reservation is written again.
func (b Bounds) hysteresis() int { return (b.headroom() + 1) / 2 }
