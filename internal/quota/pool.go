package quota

import (
	"math"
	"time"
)

// Pool is the part of a data plane as a home: the shares lent to it, and the token buckets that they fill.
type Pool struct {
	parameters Parameters
	life       string
	started    time.Time
	// count is the number of data planes, zero while it isn't known.
	count  int
	limits map[string]Limit
	groups []*group
	loans  map[loanKey]*loan
	// nextEnd is the earliest end of a loan that is in force, zero without one.
	nextEnd time.Time
	leaving bool
	// lives holds the present life of each lending data plane, displaced the moments at which former ones gave way.
	lives     map[string]string
	displaced map[string]time.Time
}

type loanKey struct {
	lender string
	group  int
}

// loan is what one life of a lender lent of one group. It is kept a while after its end for number and seeded.
type loan struct {
	number uint64
	share  float64
	homes  int
	until  time.Time
	seeded time.Time
}

// NewPool returns a pool with nothing lent to it. The life names this process and no other.
func NewPool(parameters Parameters, life string, now time.Time) *Pool {
	pool := &Pool{
		parameters: parameters,
		life:       life,
		started:    now,
		limits:     map[string]Limit{},
		loans:      map[loanKey]*loan{},
		lives:      map[string]string{},
		displaced:  map[string]time.Time{},
	}
	for range max(parameters.Groups, 1) {
		pool.groups = append(pool.groups, &group{buckets: map[string]*bucket{}})
	}
	return pool
}

// SetLimits puts the limits of all tenants in force. Tenants that stay keep the tokens they have up to what
// the new limit allows; new ones start with none.
func (p *Pool) SetLimits(limits map[string]Limit, now time.Time) {
	p.expire(now)
	p.accrueAll(now)
	p.limits = limits
	for number, one := range p.groups {
		for tenant := range one.buckets {
			if limit, known := limits[tenant]; !known || limit.Unlimited() || p.parameters.Group(tenant) != number {
				delete(one.buckets, tenant)
			}
		}
	}
	for tenant, limit := range limits {
		buckets := p.groups[p.parameters.Group(tenant)].buckets
		if buckets[tenant] == nil && !limit.Unlimited() {
			buckets[tenant] = &bucket{at: now}
		}
	}
	p.clipAll()
}

// SetCount notes the number of data planes. Loans by lenders that count fewer are cut to it as they are renewed.
func (p *Pool) SetCount(count int) { p.count = count }

// Lend takes the loans of a request, unless it was overtaken or its stamp is too old or of another life, and
// answers with the present stamp.
func (p *Pool) Lend(request LendRequest, now time.Time) LendReply {
	p.expire(now)
	reply := LendReply{Stamp: Stamp{Life: p.life, At: int64(now.Sub(p.started))}}
	if p.leaving {
		reply.Released = true
		p.release(request.Lender, now)
		return reply
	}
	if !p.present(request, now) {
		return reply
	}
	until := p.started.Add(time.Duration(request.Stamp.At) + p.parameters.Term)
	if request.Stamp.Life != p.life || request.Stamp.At > reply.Stamp.At || !now.Before(until) {
		return reply
	}
	changed := p.take(request, until, now)
	for number, share := range changed {
		p.setShare(number, share, now)
	}
	p.findNextEnd()
	return reply
}

// Leave has every lender told, when it comes to renew its loans, that they are at an end. The others stay in force.
func (p *Pool) Leave() { p.leaving = true }

// release ends what a lender lent.
func (p *Pool) release(lender string, now time.Time) {
	for number, one := range p.groups {
		held := p.loans[loanKey{lender, number}]
		if held == nil {
			continue
		}
		held.share = 0
		if share := p.shareOf(number); share != one.share {
			p.setShare(number, share, now)
		}
	}
	p.findNextEnd()
}

// take puts the request's loans in place of the lender's former ones and returns the new shares of the groups
// that they change.
func (p *Pool) take(request LendRequest, until, now time.Time) map[int]float64 {
	lent := make(map[int]Loan, len(request.Loans))
	for _, one := range request.Loans {
		lent[one.Group] = one
	}
	changed := map[int]float64{}
	for number := range p.groups {
		key := loanKey{request.Lender, number}
		held := p.loans[key]
		stated, renewed := lent[number]
		if held == nil && !renewed || held != nil && request.Number <= held.number {
			continue
		}
		if held == nil {
			held = &loan{}
			p.loans[key] = held
		}
		share := p.believed(stated)
		grown := share > held.share
		held.number, held.until = request.Number, until
		held.share, held.homes = share, stated.Homes
		before := p.groups[number].share
		after := p.shareOf(number)
		if after != before {
			changed[number] = after
		}
		if grown && !stated.Moved && (held.seeded.IsZero() || now.Sub(held.seeded) > p.parameters.lent()) {
			held.seeded = now
			p.sow(number, after-before, time.Duration(stated.IdleMs)*time.Millisecond, now)
		}
	}
	return changed
}

// believed is the share of a loan, but no more than a lender has by this home's count.
func (p *Pool) believed(stated Loan) float64 {
	share := max(stated.Share, 0)
	if p.count > 0 {
		share = min(share, 1/float64(p.count*max(stated.Homes, 1)))
	}
	return share
}

// shareOf sums what is lent of a group. It is never more than the part that a lender gives to one home, so that
// lenders that count too few data planes don't add up to more than the limit.
func (p *Pool) shareOf(number int) float64 {
	sum, most := 0.0, 0.0
	for key, held := range p.loans {
		if key.group == number && held.share > 0 {
			sum += held.share
			most = max(most, 1/float64(max(held.homes, 1)))
		}
	}
	return min(sum, most)
}

// expire ends the loans whose time is over, each at its own moment.
func (p *Pool) expire(now time.Time) {
	for !p.nextEnd.IsZero() && !now.Before(p.nextEnd) {
		end := p.nextEnd
		for _, held := range p.loans {
			if held.share > 0 && !end.Before(held.until) {
				held.share = 0
			}
		}
		for number, one := range p.groups {
			if share := p.shareOf(number); share != one.share {
				p.setShare(number, share, end)
			}
		}
		p.forget(end)
		p.findNextEnd()
	}
}

// forget drops loans that ended so long ago that nothing more can come of them.
func (p *Pool) forget(now time.Time) {
	for key, held := range p.loans {
		if held.share == 0 && now.Sub(held.until) > 2*p.parameters.Term {
			delete(p.loans, key)
		}
	}
}

func (p *Pool) findNextEnd() {
	p.nextEnd = time.Time{}
	for _, held := range p.loans {
		if held.share > 0 && (p.nextEnd.IsZero() || held.until.Before(p.nextEnd)) {
			p.nextEnd = held.until
		}
	}
}

// Share returns how much of a group's limits is lent to this home.
func (p *Pool) Share(number int, now time.Time) float64 {
	p.expire(now)
	return p.groups[number].share
}

// Borrow gives as many of the wanted tokens as there are.
func (p *Pool) Borrow(request BorrowRequest, now time.Time) BorrowReply {
	p.expire(now)
	one := p.groups[p.parameters.Group(request.Tenant)]
	held := one.buckets[request.Tenant]
	if held == nil || one.share <= 0 {
		return BorrowReply{Unable: true}
	}
	p.accrue(one, request.Tenant, held, now)
	given := int(min(math.Floor(held.tokens+rounding), float64(max(request.Want, 0))))
	held.tokens = max(held.tokens-float64(given), 0)
	if given >= request.Want {
		return BorrowReply{Tokens: given}
	}
	if filling := now.Sub(one.since) < p.parameters.Term; filling && given == 0 {
		return BorrowReply{Unable: true}
	}
	return BorrowReply{Tokens: given, RetryMs: p.retry(one, request.Tenant, held)}
}
