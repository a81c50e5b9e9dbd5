package quota

import (
	"math"
	"time"
)

// Pool is the part of a data plane as a home: the shares lent to it, and the token buckets that they fill.
type Pool struct {
	parameters  Parameters
	incarnation string
	startedAt   time.Time
	// count is the number of data planes, zero while it isn't known.
	dataPlaneCount int
	limits         map[string]Limit
	groups         []*group
	loans          map[loanKey]*loan
	// nextExpiry is the earliest end of a loan that is in force, zero without one.
	nextExpiry time.Time
	draining   bool
	// lives holds the present life of each lending data plane, displaced the moments at which former ones gave way.
	incarnations map[string]string
	supersededAt map[string]time.Time
}

type loanKey struct {
	incarnation string
	group       int
}

// loan is what one life of a lender lent of one group. It is kept a while after its end for number and seeded.
type loan struct {
	sequence   uint64
	share      float64
	homeShards int
	expiresAt  time.Time
	seededAt   time.Time
}

// NewPool returns a pool with nothing lent to it. The life names this process and no other.
func NewPool(parameters Parameters, incarnation string, now time.Time) *Pool {
	pool := &Pool{
		parameters:   parameters,
		incarnation:  incarnation,
		startedAt:    now,
		limits:       map[string]Limit{},
		loans:        map[loanKey]*loan{},
		incarnations: map[string]string{},
		supersededAt: map[string]time.Time{},
	}
	for range max(parameters.Groups, 1) {
		pool.groups = append(pool.groups, &group{buckets: map[string]*bucket{}})
	}
	return pool
}

// SetLimits puts the limits of all tenants in force. Tenants that stay keep the tokens they have up to what
// the new limit allows; new ones start with none.
func (p *Pool) SetLimits(limits map[string]Limit, now time.Time) {
	p.expireLoans(now)
	p.accrueAll(now)
	p.limits = limits
	for number, group := range p.groups {
		for tenant := range group.buckets {
			if limit, known := limits[tenant]; !known || limit.Unlimited() || p.parameters.Group(tenant) != number {
				delete(group.buckets, tenant)
			}
		}
	}
	for tenant, limit := range limits {
		buckets := p.groups[p.parameters.Group(tenant)].buckets
		if buckets[tenant] == nil && !limit.Unlimited() {
			buckets[tenant] = &bucket{updatedAt: now}
		}
	}
	p.clipAll()
}

// SetDataPlaneCount notes the number of data planes. Loans by lenders that count fewer are cut to it as they are renewed.
func (p *Pool) SetDataPlaneCount(count int) { p.dataPlaneCount = count }

// Lend takes the loans of a request, unless it was overtaken or its stamp is too old or of another life, and
// answers with the present stamp.
func (p *Pool) Lend(request LendRequest, now time.Time) LendReply {
	p.expireLoans(now)
	reply := LendReply{Stamp: Stamp{Incarnation: p.incarnation, At: int64(now.Sub(p.startedAt))}}
	if p.draining {
		reply.Released = true
		p.releaseLender(request.LenderIncarnation, now)
		return reply
	}
	if !p.acceptIncarnation(request, now) {
		return reply
	}
	until := p.startedAt.Add(time.Duration(request.Stamp.At) + p.parameters.LoanTerm)
	if request.Stamp.Incarnation != p.incarnation || request.Stamp.At > reply.Stamp.At || !now.Before(until) {
		return reply
	}
	changed := p.applyLoans(request, until, now)
	for number, share := range changed {
		p.setShare(number, share, now)
	}
	p.updateNextExpiry()
	return reply
}

// Leave has every lender told, when it comes to renew its loans, that they are at an end. The others stay in force.
func (p *Pool) Drain() { p.draining = true }

// release ends what a lender lent.
func (p *Pool) releaseLender(lender string, now time.Time) {
	for number, group := range p.groups {
		loan := p.loans[loanKey{lender, number}]
		if loan == nil {
			continue
		}
		loan.share = 0
		if share := p.shareOf(number); share != group.share {
			p.setShare(number, share, now)
		}
	}
	p.updateNextExpiry()
}

// take puts the request's loans in place of the lender's former ones and returns the new shares of the groups
// that they change.
func (p *Pool) applyLoans(request LendRequest, until, now time.Time) map[int]float64 {
	lent := make(map[int]Loan, len(request.Loans))
	for _, one := range request.Loans {
		lent[one.Group] = one
	}
	changed := map[int]float64{}
	for number := range p.groups {
		key := loanKey{request.LenderIncarnation, number}
		held := p.loans[key]
		stated, renewed := lent[number]
		if held == nil && !renewed || held != nil && request.Sequence <= held.sequence {
			continue
		}
		if held == nil {
			held = &loan{}
			p.loans[key] = held
		}
		share := p.cappedShare(stated)
		grown := share > held.share
		held.sequence, held.expiresAt = request.Sequence, until
		held.share, held.homeShards = share, stated.HomeShards
		before := p.groups[number].share
		after := p.shareOf(number)
		if after != before {
			changed[number] = after
		}
		if grown && !stated.Transferred && (held.seededAt.IsZero() || now.Sub(held.seededAt) > p.parameters.leaseDuration()) {
			held.seededAt = now
			p.addSeedTokens(number, after-before, time.Duration(stated.IdleMs)*time.Millisecond, now)
		}
	}
	return changed
}

// believed is the share of a loan, but no more than a lender has by this home's count.
func (p *Pool) cappedShare(stated Loan) float64 {
	share := max(stated.Share, 0)
	if p.dataPlaneCount > 0 {
		share = min(share, 1/float64(p.dataPlaneCount*max(stated.HomeShards, 1)))
	}
	return share
}

// shareOf sums what is lent of a group. It is never more than the part that a lender gives to one home, so that
// lenders that count too few data planes don't add up to more than the limit.
func (p *Pool) shareOf(number int) float64 {
	sum, most := 0.0, 0.0
	for key, loan := range p.loans {
		if key.group == number && loan.share > 0 {
			sum += loan.share
			most = max(most, 1/float64(max(loan.homeShards, 1)))
		}
	}
	return min(sum, most)
}

// expire ends the loans whose time is over, each at its own moment.
func (p *Pool) expireLoans(now time.Time) {
	for !p.nextExpiry.IsZero() && !now.Before(p.nextExpiry) {
		end := p.nextExpiry
		for _, loan := range p.loans {
			if loan.share > 0 && !end.Before(loan.expiresAt) {
				loan.share = 0
			}
		}
		for number, group := range p.groups {
			if share := p.shareOf(number); share != group.share {
				p.setShare(number, share, end)
			}
		}
		p.dropEndedLoans(end)
		p.updateNextExpiry()
	}
}

// forget drops loans that ended so long ago that nothing more can come of them.
func (p *Pool) dropEndedLoans(now time.Time) {
	for key, loan := range p.loans {
		if loan.share == 0 && now.Sub(loan.expiresAt) > 2*p.parameters.LoanTerm {
			delete(p.loans, key)
		}
	}
}

func (p *Pool) updateNextExpiry() {
	p.nextExpiry = time.Time{}
	for _, loan := range p.loans {
		if loan.share > 0 && (p.nextExpiry.IsZero() || loan.expiresAt.Before(p.nextExpiry)) {
			p.nextExpiry = loan.expiresAt
		}
	}
}

// Share returns how much of a group's limits is lent to this home.
func (p *Pool) Share(number int, now time.Time) float64 {
	p.expireLoans(now)
	return p.groups[number].share
}

// Borrow gives as many of the wanted tokens as there are.
func (p *Pool) Borrow(request BorrowRequest, now time.Time) BorrowReply {
	p.expireLoans(now)
	group := p.groups[p.parameters.Group(request.Tenant)]
	bucket := group.buckets[request.Tenant]
	if bucket == nil || group.share <= 0 {
		return BorrowReply{Unavailable: true}
	}
	p.accrue(group, request.Tenant, bucket, now)
	given := int(min(math.Floor(bucket.tokens+rounding), float64(max(request.Want, 0))))
	bucket.tokens = max(bucket.tokens-float64(given), 0)
	if given >= request.Want {
		return BorrowReply{Tokens: given}
	}
	if filling := now.Sub(group.lentSince) < p.parameters.LoanTerm; filling && given == 0 {
		return BorrowReply{Unavailable: true}
	}
	return BorrowReply{Tokens: given, RetryAfterMs: p.retryAfterMs(group, request.Tenant, bucket)}
}
