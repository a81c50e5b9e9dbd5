package quota

import "time"

// Limit is a tenant's rate limit over all data planes: a rate in requests per second, and a burst in requests.
type Limit struct {
	RatePerS float64
	Burst    float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.RatePerS <= 0 }

// Bounds states by how much the requests of a tenant in any time window of length Window may exceed its limit: by the
// fraction Overage, plus Slack requests.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Allowed returns the maximum number of requests in any time window of length Window.
func (b Bounds) Allowed(limit Limit) float64 {
	return (limit.RatePerS*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack
}
