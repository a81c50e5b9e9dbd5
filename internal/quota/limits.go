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
	Groups             int
	HomeShardsPerGroup int
	// Term is how long a loan lasts, Renewal how often it is renewed.
	LoanTerm        time.Duration
	RenewalInterval time.Duration
	// TokenTTL is how long a token may be spent after it was asked for.
	TokenTTL time.Duration
	// Touch is how long after the last confirmed news a data plane still lends its share.
	FleetSizeTTL time.Duration
	// Counted is the least time for which a silent data plane is counted. Touch and Term together are
	// shorter.
	SilentExpiry time.Duration
	// Drift bounds the ratio by which the steady clocks of two machines differ in speed.
	MaxClockDrift float64
}

// DefaultParameters returns parameters that keep to the bounds.
func DefaultParameters(bounds Bounds) Parameters {
	return Parameters{
		Bounds:             bounds,
		Groups:             4,
		HomeShardsPerGroup: 2,
		LoanTerm:           2 * time.Second,
		RenewalInterval:    600 * time.Millisecond,
		TokenTTL:           250 * time.Millisecond,
		FleetSizeTTL:       5500 * time.Millisecond,
		SilentExpiry:       10 * time.Second,
		MaxClockDrift:      0.02,
	}
}

// toleranceReserve is the part of the tolerance that is left unused.
const toleranceReserve = 0.05

// lent is how long a lender counts a loan as lent after it was sent.
func (p Parameters) leaseDuration() time.Duration {
	return time.Duration(float64(p.LoanTerm)*(1+p.MaxClockDrift)) + time.Millisecond
}

// JoinDelay is how long a data plane that wasn't counted before lends nothing: until all others know that it is, or have
// ended their loans for want of news.
func (p Parameters) JoinDelay() time.Duration {
	return time.Duration(float64(p.FleetSizeTTL)*(1+p.MaxClockDrift)) + p.leaseDuration()
}

// span is the time in which tokens that are spent within one window may have been given.
func (p Parameters) span() float64 {
	return (p.Bounds.Window + p.TokenTTL).Seconds() * (1 + p.MaxClockDrift)
}

// rate is the rate at which all pools together accrue tokens: the limit's, or less where the overage
// doesn't cover the life of tokens.
func (p Parameters) accrualRate(limit Limit) float64 {
	covered := p.Bounds.Window.Seconds() * (1 + p.Bounds.Overage*(1-toleranceReserve))
	return limit.RatePerS * min(1, covered/p.span())
}

// arrivals is how often, at most, a share comes newly to some home within one span.
func (p Parameters) maxArrivals() float64 {
	term := p.LoanTerm.Seconds()
	return math.Floor((p.span()+term)/term) + 1
}

// seed is how many tokens a whole share brings to a home that it comes to newly: as many as the bounds
// leave room for.
func (p Parameters) seedTokens(limit Limit) float64 {
	room := p.Bounds.Allowed(limit) - limit.Burst - p.accrualRate(limit)*p.span()
	return max(room, 0) * (1 - toleranceReserve) / (p.maxArrivals() + 1)
}

// capacity is how many tokens a pool with the whole share may hold.
func (p Parameters) capacity(limit Limit) float64 {
	return max(limit.Burst, p.seedTokens(limit))
}
