package quota

import (
	"math"
	"time"
)

const (
	// toleranceReserve is the fraction of the tolerance of the bounds that is left unused.
	toleranceReserve = 0.05
	// leaseMargin is added to the time for which a lender counts a loan as leased, to cover the rounding of times.
	leaseMargin = time.Millisecond
)

// Parameters holds the parameters that all data planes of a fleet must share.
type Parameters struct {
	Bounds Bounds
	// Groups is the number of groups that tenants are divided into.
	Groups             int
	HomeShardsPerGroup int
	// LoanTerm is the term of a loan, RenewalInterval the interval at which loans are renewed.
	LoanTerm        time.Duration
	RenewalInterval time.Duration
	// TokenTTL is how long after its request a token may be spent.
	TokenTTL time.Duration
	// FleetSizeTTL is how long a data plane lends its share after the fleet size was last confirmed.
	FleetSizeTTL time.Duration
	// SilentExpiry is the minimum time for which a data plane that is out of contact is still counted. It must be longer
	// than FleetSizeTTL and LoanTerm together: otherwise its share could be divided among the others while it is still in
	// force.
	SilentExpiry time.Duration
	// MaxClockDrift is the maximum relative difference between the clock rates of two machines.
	MaxClockDrift float64
}

// DefaultParameters returns the default parameters for the bounds.
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

// JoinDelay returns how long a newly counted data plane lends nothing. By then each other data plane either uses the new
// fleet size, or has stopped lending because its fleet size expired; otherwise the shares could sum to more than the
// limits.
func (p Parameters) JoinDelay() time.Duration {
	return p.maxLocalDuration(p.FleetSizeTTL) + p.leaseDuration()
}

// leaseDuration returns how long a lender counts a loan as leased after it was sent. It covers the loan's term as measured by
// the clock of a home shard, which may be slower.
func (p Parameters) leaseDuration() time.Duration {
	return p.maxLocalDuration(p.LoanTerm) + leaseMargin
}

// maxLocalDuration returns the maximum time on this machine's clock in which another machine's clock advances by measured.
func (p Parameters) maxLocalDuration(measured time.Duration) time.Duration {
	return time.Duration(float64(measured) * (1 + p.MaxClockDrift))
}

// minHeldTime returns the minimum time on this machine's clock for which a request was held before its tokens were granted.
func (p Parameters) minHeldTime(reply BorrowReply) time.Duration {
	held := time.Duration(max(reply.HeldMs, 0)) * time.Millisecond
	return time.Duration(float64(held) * (1 - p.MaxClockDrift))
}

// grantSpanS returns the length of the time span, in seconds, in which all tokens spent in one window were granted.
func (p Parameters) grantSpanS() float64 {
	return (p.Bounds.Window + p.TokenTTL).Seconds() * (1 + p.MaxClockDrift)
}

// accrualRate returns the rate, in tokens per second, at which all pools together accrue tokens: that of the limit, or a lower
// one if the overage does not cover the TokenTTL.
func (p Parameters) accrualRate(limit Limit) float64 {
	covered := p.Bounds.Window.Seconds() * (1 + p.Bounds.Overage*(1-toleranceReserve))
	return limit.RatePerS * min(1, covered/p.grantSpanS())
}

// maxArrivals returns the maximum number of times that a share is newly lent to some home shard within one grant span.
func (p Parameters) maxArrivals() float64 {
	term := p.LoanTerm.Seconds()
	return math.Floor((p.grantSpanS()+term)/term) + 1
}

// seedTokens returns the number of tokens that are added to the bucket of a home shard when the whole limit is newly lent to
// it: the most that the bounds permit.
func (p Parameters) seedTokens(limit Limit) float64 {
	remaining := p.Bounds.Allowed(limit) - limit.Burst - p.accrualRate(limit)*p.grantSpanS()
	return max(remaining, 0) * (1 - toleranceReserve) / (p.maxArrivals() + 1)
}

// capacity returns how many tokens a pool may hold for the whole limit.
func (p Parameters) capacity(limit Limit) float64 {
	return max(limit.Burst, p.seedTokens(limit))
}
