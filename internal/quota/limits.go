package quota

import (
	"math"
	"time"
)

// Limit is what a tenant may send over all data planes: requests a second, and a burst on top.
type Limit struct {
	RatePerS float64
	Burst    float64
}

// Unlimited says whether the limit binds nothing.
func (l Limit) Unlimited() bool { return l.RatePerS <= 0 }

// Bounds are how far the requests of a tenant in any span of Window may exceed its limit: by the ratio
// Overage and by Slack requests.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Allowed is how many requests may run in any span of Window.
func (b Bounds) Allowed(limit Limit) float64 {
	return (limit.RatePerS*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack
}

// Parameters are the times and numbers that all data planes of a fleet share.
type Parameters struct {
	Bounds Bounds
	// Groups is the number of groups that tenants are divided into, and Homes how many homes each has.
	Groups int
	Homes  int
	// Term is how long a loan lasts, Renewal how often it is renewed.
	Term    time.Duration
	Renewal time.Duration
	// TokenLife is how long a token may be spent after it was asked for.
	TokenLife time.Duration
	// Touch is how long after the last confirmed news a data plane still lends its share.
	Touch time.Duration
	// Counted is the least time for which a silent data plane is counted. Touch and Term together are
	// shorter.
	Counted time.Duration
	// Drift bounds the ratio by which the steady clocks of two machines differ in speed.
	Drift float64
}

// DefaultParameters returns parameters that keep to the bounds.
func DefaultParameters(bounds Bounds) Parameters {
	return Parameters{
		Bounds:    bounds,
		Groups:    4,
		Homes:     2,
		Term:      2 * time.Second,
		Renewal:   600 * time.Millisecond,
		TokenLife: 250 * time.Millisecond,
		Touch:     5500 * time.Millisecond,
		Counted:   10 * time.Second,
		Drift:     0.02,
	}
}

// reserve is the part of the tolerance that is left unused.
const reserve = 0.05

// lent is how long a lender counts a loan as lent after it was sent.
func (p Parameters) lent() time.Duration {
	return time.Duration(float64(p.Term)*(1+p.Drift)) + time.Millisecond
}

// JoiningWait is how long a data plane that wasn't counted before lends nothing: until all others know that it is, or have
// ended their loans for want of news.
func (p Parameters) JoiningWait() time.Duration {
	return time.Duration(float64(p.Touch)*(1+p.Drift)) + p.lent()
}

// span is the time in which tokens that are spent within one window may have been given.
func (p Parameters) span() float64 {
	return (p.Bounds.Window + p.TokenLife).Seconds() * (1 + p.Drift)
}

// rate is the rate at which all pools together accrue tokens: the limit's, or less where the overage
// doesn't cover the life of tokens.
func (p Parameters) rate(limit Limit) float64 {
	covered := p.Bounds.Window.Seconds() * (1 + p.Bounds.Overage*(1-reserve))
	return limit.RatePerS * min(1, covered/p.span())
}

// arrivals is how often, at most, a share comes newly to some home within one span.
func (p Parameters) arrivals() float64 {
	term := p.Term.Seconds()
	return math.Floor((p.span()+term)/term) + 1
}

// seed is how many tokens a whole share brings to a home that it comes to newly: as many as the bounds
// leave room for.
func (p Parameters) seed(limit Limit) float64 {
	room := p.Bounds.Allowed(limit) - limit.Burst - p.rate(limit)*p.span()
	return max(room, 0) * (1 - reserve) / (p.arrivals() + 1)
}

// capacity is how many tokens a pool with the whole share may hold.
func (p Parameters) capacity(limit Limit) float64 {
	return max(limit.Burst, p.seed(limit))
}
