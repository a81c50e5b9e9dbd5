package quota

import "time"

// Limit is what a tenant may send over all data planes: a rate in requests a second, and a burst of requests on top.
type Limit struct {
	RatePerS float64
	Burst    float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.RatePerS <= 0 }

// Bounds is by how much the requests of a tenant in any span of Window may exceed its limit: by the ratio Overage and
// by Slack requests.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Allowed returns how many requests may run in any span of Window.
func (b Bounds) Allowed(limit Limit) float64 {
	return (limit.RatePerS*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack
}
