package quota

import (
	"math"
	"time"
)

const (
	// toleranceReserve is the part of the tolerance of the bounds that is left unused.
	toleranceReserve = 0.05
	// leaseMargin is added to the time for which a lender counts a loan as leased, for the rounding of times.
	leaseMargin = time.Millisecond
)

// Parameters are the times and numbers that all data planes of a fleet share.
type Parameters struct {
	Bounds Bounds
	// Groups is the number of groups that tenants are divided into.
	Groups             int
	HomeShardsPerGroup int
	// LoanTerm is how long a loan lasts, RenewalInterval how often it is renewed.
	LoanTerm        time.Duration
	RenewalInterval time.Duration
	// TokenTTL is how long a token may be spent after it was requested.
	TokenTTL time.Duration
	// FleetSizeTTL is how long after the last confirmed fleet size a data plane still lends its share.
	FleetSizeTTL time.Duration
	// SilentExpiry is the least time for which a silent data plane is still counted. It must be longer than
	// FleetSizeTTL and LoanTerm together: otherwise the share of a data plane that is out of touch could be
	// divided among the others while it is still in force.
	SilentExpiry time.Duration
	// MaxClockDrift is the largest ratio by which the clocks of two machines differ in speed.
	MaxClockDrift float64
}

// DefaultParameters returns parameters that keep to the bounds.
func DefaultParameters(bounds Bounds) Parameters {
	return Parameters{
		Bounds:             bounds,
		Groups:             4,
		HomeShardsPerGroup: 2,
		LoanTerm:           2 * time.Second,
		RenewalInterval:    750 * time.Millisecond,
		TokenTTL:           250 * time.Millisecond,
		FleetSizeTTL:       5500 * time.Millisecond,
		SilentExpiry:       10 * time.Second,
		MaxClockDrift:      0.02,
	}
}

// JoinDelay is how long a data plane that wasn't counted before lends nothing: until all others know that it is, or
// have ended their loans for want of a fleet size. Without it the shares would sum to more than the limits.
func (p Parameters) JoinDelay() time.Duration {
	return p.byFasterClock(p.FleetSizeTTL) + p.leaseDuration()
}

// leaseDuration is how long a lender counts a loan as leased after it was sent. It covers the term by a home shard's
// slower clock.
func (p Parameters) leaseDuration() time.Duration {
	return p.byFasterClock(p.LoanTerm) + leaseMargin
}

// byFasterClock is how long a time that another machine measures may take by this machine's clock.
func (p Parameters) byFasterClock(measured time.Duration) time.Duration {
	return time.Duration(float64(measured) * (1 + p.MaxClockDrift))
}

// heldFor is for how long, at least, a request was held before its tokens were given, by this machine's clock.
func (p Parameters) heldFor(reply BorrowReply) time.Duration {
	held := time.Duration(max(reply.HeldMs, 0)) * time.Millisecond
	return time.Duration(float64(held) * (1 - p.MaxClockDrift))
}

// grantSpanS is the time, in seconds, within which tokens that are spent in one window may have been given.
func (p Parameters) grantSpanS() float64 {
	return (p.Bounds.Window + p.TokenTTL).Seconds() * (1 + p.MaxClockDrift)
}

// accrualRate is the rate in tokens a second at which all pools together accrue tokens: the limit's, or less where the
// overage doesn't cover the time to live of tokens.
func (p Parameters) accrualRate(limit Limit) float64 {
	covered := p.Bounds.Window.Seconds() * (1 + p.Bounds.Overage*(1-toleranceReserve))
	return limit.RatePerS * min(1, covered/p.grantSpanS())
}

// maxArrivals is how often, at most, a share newly comes to some home shard within one grant span.
func (p Parameters) maxArrivals() float64 {
	term := p.LoanTerm.Seconds()
	return math.Floor((p.grantSpanS()+term)/term) + 1
}

// seedTokens is how many tokens a whole share brings to a home shard that it newly comes to: as many as the bounds
// leave room for.
func (p Parameters) seedTokens(limit Limit) float64 {
	remaining := p.Bounds.Allowed(limit) - limit.Burst - p.accrualRate(limit)*p.grantSpanS()
	return max(remaining, 0) * (1 - toleranceReserve) / (p.maxArrivals() + 1)
}

// capacity is how many tokens a pool with the whole share may hold.
func (p Parameters) capacity(limit Limit) float64 {
	return max(limit.Burst, p.seedTokens(limit))
}
