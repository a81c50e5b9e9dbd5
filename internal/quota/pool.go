package quota

import "time"

// keptTerms is for how many loan terms ended loans and superseded incarnations are remembered: longer than a request
// that would still be accepted can be under way.
const keptTerms = 2

// Pool is a data plane as a home shard: the shares lent to it, and the token buckets that they fill.
type Pool struct {
	parameters  Parameters
	incarnation string
	startedAt   time.Time
	// dataPlaneCount is the number of data planes, zero while it isn't known.
	dataPlaneCount int
	groups         []*group
	loans          loanTable
	lenders        incarnations
	draining       bool
}

// NewPool returns a pool with nothing lent to it. The incarnation names this process and no other.
func NewPool(parameters Parameters, incarnation string, now time.Time) *Pool {
	pool := &Pool{
		parameters:  parameters,
		incarnation: incarnation,
		startedAt:   now,
		loans:       newLoanTable(),
		lenders:     newIncarnations(),
	}
	for range parameters.groupCount() {
		pool.groups = append(pool.groups, &group{buckets: map[string]*bucket{}})
	}
	return pool
}

// SetLimits puts the limits of all tenants in force. Tenants that stay keep the tokens that they have, up to what the
// new limit allows; new ones start with none.
func (p *Pool) SetLimits(limits map[string]Limit, now time.Time) {
	p.expireLoans(now)
	for _, group := range p.groups {
		group.accrue(now)
		for tenant := range group.buckets {
			if limit, known := limits[tenant]; !known || limit.Unlimited() {
				delete(group.buckets, tenant)
			}
		}
	}
	for tenant, limit := range limits {
		if limit.Unlimited() {
			continue
		}
		buckets := p.groupOf(tenant).buckets
		if buckets[tenant] == nil {
			buckets[tenant] = &bucket{updatedAt: now}
		}
		buckets[tenant].setLimit(p.parameters, limit)
	}
	for _, group := range p.groups {
		group.clip()
	}
}

// SetDataPlaneCount sets the number of data planes. Loans by lenders that count fewer are capped to it as they are
// renewed.
func (p *Pool) SetDataPlaneCount(count int) { p.dataPlaneCount = count }

func (p *Pool) groupOf(tenant string) *group { return p.groups[p.parameters.Group(tenant)] }

// Lend accepts the loans of a request, unless that was overtaken or its stamp is too old or of another incarnation, and
// replies with the present stamp. A loan counts from its stamp, not from its receipt: a home shard that was frozen
// would otherwise hold a share that the lender has lent to another one meanwhile.
func (p *Pool) Lend(request LendRequest, now time.Time) LendReply {
	p.expireLoans(now)
	reply := LendReply{Stamp: Stamp{Incarnation: p.incarnation, At: int64(now.Sub(p.startedAt))}}
	if p.draining {
		reply.Released = true
		p.releaseLender(request.LenderIncarnation, now)
		return reply
	}
	stampedAt := p.startedAt.Add(time.Duration(request.Stamp.At))
	if !p.acceptLender(request, stampedAt, now) {
		return reply
	}
	expiresAt := stampedAt.Add(p.parameters.LoanTerm)
	isOwnStamp := request.Stamp.Incarnation == p.incarnation && request.Stamp.At <= reply.Stamp.At
	if isOwnStamp && now.Before(expiresAt) {
		p.applyLoans(request, expiresAt, now)
	}
	return reply
}

// acceptLender reports whether a request is of the present incarnation of its data plane. An incarnation that wasn't
// seen before supersedes the last one, whose loans end: that process is dead.
func (p *Pool) acceptLender(request LendRequest, stampedAt, now time.Time) bool {
	if p.lenders.isCurrent(request.DataPlane, request.LenderIncarnation) {
		return true
	}
	if p.lenders.isSuperseded(request.LenderIncarnation, stampedAt) {
		return false
	}
	if former, known := p.lenders.replace(request.DataPlane, request.LenderIncarnation, now); known {
		p.releaseLender(former, now)
	}
	p.lenders.dropSuperseded(now.Add(-keptTerms * p.parameters.LoanTerm))
	return true
}

// Drain has every lender notified, when it next renews its loans, that they have ended. Those of the others stay in
// force.
func (p *Pool) Drain() { p.draining = true }

// releaseLender ends what an incarnation of a lender lent.
func (p *Pool) releaseLender(incarnation string, now time.Time) {
	for index := range p.groups {
		if loan := p.loans.find(loanKey{incarnation, index}); loan != nil {
			loan.share = 0
			p.updateShare(index, now)
		}
	}
	p.loans.updateNextExpiry()
}

// updateShare puts in force what is lent of a group.
func (p *Pool) updateShare(group int, now time.Time) {
	if share := p.loans.totalShare(group); share != p.groups[group].share {
		p.groups[group].setShare(share, now)
	}
}

// applyLoans puts the loans of a request in place of the lender's former ones, which end if they aren't among them.
func (p *Pool) applyLoans(request LendRequest, expiresAt, now time.Time) {
	stated := make(map[int]Loan, len(request.Loans))
	for _, loan := range request.Loans {
		stated[loan.Group] = loan
	}
	for index := range p.groups {
		key := loanKey{request.LenderIncarnation, index}
		replacement, isStated := stated[index]
		held := p.loans.find(key)
		switch {
		case held == nil && !isStated:
			continue
		case held == nil:
			held = p.loans.add(key)
		case request.Sequence <= held.sequence:
			continue
		}
		held.sequence, held.expiresAt = request.Sequence, expiresAt
		p.replaceLoan(index, held, replacement, now)
	}
	p.loans.updateNextExpiry()
}

// replaceLoan replaces the share of a loan. A share that grew brings tokens with it, at most once in the time for which
// a lender counts it as leased: it could otherwise bring them again by going back and forth.
func (p *Pool) replaceLoan(index int, held *loan, replacement Loan, now time.Time) {
	share := p.cappedShare(replacement)
	grown := share > held.share
	held.share, held.homeShards = share, replacement.HomeShardCount
	group, total := p.groups[index], p.loans.totalShare(index)
	seedDue := held.seededAt.IsZero() || now.Sub(held.seededAt) > p.parameters.leaseDuration()
	if grown && seedDue && !replacement.Transferred {
		held.seededAt = now
		group.addSeed(total-group.share, time.Duration(replacement.IdleMs)*time.Millisecond, now)
	}
	if total != group.share {
		group.setShare(total, now)
	}
}

// cappedShare is the share of a loan, but no more than a lender has by this home shard's count of data planes.
func (p *Pool) cappedShare(stated Loan) float64 {
	share := max(stated.Share, 0)
	if p.dataPlaneCount > 0 {
		share = min(share, 1/float64(p.dataPlaneCount*max(stated.HomeShardCount, 1)))
	}
	return share
}

// expireLoans ends the loans that are over, each at its own moment: until then it filled the buckets.
func (p *Pool) expireLoans(now time.Time) {
	for p.loans.hasExpired(now) {
		end := p.loans.nextExpiry
		p.loans.endExpired(end)
		for index := range p.groups {
			p.updateShare(index, end)
		}
		p.loans.dropEnded(end.Add(-keptTerms * p.parameters.LoanTerm))
		p.loans.updateNextExpiry()
	}
}

// Share returns how much of a group's limits is lent to this home shard.
func (p *Pool) Share(group int, now time.Time) float64 {
	p.expireLoans(now)
	return p.groups[group].share
}

// TimeToNextToken is the time until there may be a token of the tenant, if its share stays as it is; longest if it has none.
func (p *Pool) TimeToNextToken(tenant string, longest time.Duration, now time.Time) time.Duration {
	p.expireLoans(now)
	group := p.groupOf(tenant)
	bucket := group.buckets[tenant]
	if bucket == nil || group.share <= 0 {
		return longest
	}
	bucket.accrue(group.share, now)
	return time.Duration(bucket.retryAfterMs(group.share, longest)) * time.Millisecond
}

// Borrow gives as many of the requested tokens as there are. Shortly after the first loan a group with too few tokens
// is reported as unavailable, not as beyond its limit: the other lenders' shares are still to come.
func (p *Pool) Borrow(request BorrowRequest, now time.Time) BorrowReply {
	p.expireLoans(now)
	group := p.groupOf(request.Tenant)
	bucket := group.buckets[request.Tenant]
	if bucket == nil || group.share <= 0 {
		return BorrowReply{Unavailable: true}
	}
	bucket.accrue(group.share, now)
	given := bucket.take(request.Tokens)
	if given >= request.Tokens {
		return BorrowReply{Tokens: given}
	}
	isFilling := now.Sub(group.lentSince) < p.parameters.LoanTerm
	if isFilling {
		return BorrowReply{Tokens: given, Unavailable: given == 0}
	}
	return BorrowReply{
		Tokens:       given,
		RetryAfterMs: bucket.retryAfterMs(group.share, p.parameters.RenewalInterval),
	}
}
