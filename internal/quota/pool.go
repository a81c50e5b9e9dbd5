package quota

import "time"

// retentionTerms is the number of loan terms for which ended loans and superseded incarnations are kept. It is longer than
// a request can be delayed in the network and still be accepted.
const retentionTerms = 2

// Pool implements a home shard: it holds the shares that are lent to this data plane and the token buckets that they fill.
type Pool struct {
	parameters  Parameters
	incarnation string
	startedAt   time.Time
	// dataPlaneCount is the number of data planes, zero while it is unknown.
	dataPlaneCount int
	groups         []*group
	loans          loanTable
	lenders        incarnations
	draining       bool
}

// NewPool returns a pool without loans. The incarnation is a unique name of this process.
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

// SetLimits replaces the limits of all tenants. Tenants that had a limit before keep their tokens, up to the capacity of
// the new one; new tenants start without tokens.
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

// SetDataPlaneCount sets the number of data planes. Loans of lenders that assume a smaller number are capped accordingly
// when they are renewed.
func (p *Pool) SetDataPlaneCount(count int) { p.dataPlaneCount = count }

// groupOf returns the group of a tenant.
func (p *Pool) groupOf(tenant string) *group { return p.groups[p.parameters.Group(tenant)] }

// Lend handles a request to lend and replies with the present stamp. The loans are accepted unless a later request was
// handled before, or the stamp is expired or of another incarnation. The term of a loan starts at its stamp, not at its
// receipt: otherwise a home shard whose process was suspended could hold a share that the lender has lent to another one
// meanwhile.
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

// acceptLender reports whether a request was sent by the current incarnation of its data plane. A new incarnation supersedes
// the previous one, whose loans end because that process no longer exists.
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
	p.lenders.dropSuperseded(now.Add(-retentionTerms * p.parameters.LoanTerm))
	return true
}

// Drain ends the loans of each lender when it next renews them, and tells it so in the reply. Until then its loans stay in
// force.
func (p *Pool) Drain() { p.draining = true }

// releaseLender ends the loans of an incarnation of a lender.
func (p *Pool) releaseLender(incarnation string, now time.Time) {
	for index := range p.groups {
		if loan := p.loans.find(loanKey{incarnation, index}); loan != nil {
			loan.share = 0
			p.updateShare(index, now)
		}
	}
	p.loans.updateNextExpiry()
}

// updateShare puts the total of a group's loans in force.
func (p *Pool) updateShare(group int, now time.Time) {
	if share := p.loans.totalShare(group); share != p.groups[group].share {
		p.groups[group].setShare(share, now)
	}
}

// applyLoans replaces the loans of the lender by those of the request. Loans that the request does not contain end.
func (p *Pool) applyLoans(request LendRequest, expiresAt, now time.Time) {
	replacements := make(map[int]Loan, len(request.Loans))
	for _, loan := range request.Loans {
		replacements[loan.Group] = loan
	}
	for index := range p.groups {
		key := loanKey{request.LenderIncarnation, index}
		replacement, isStated := replacements[index]
		existing := p.loans.find(key)
		switch {
		case existing == nil && !isStated:
			continue
		case existing == nil:
			existing = p.loans.add(key)
		case request.Sequence <= existing.sequence:
			continue
		}
		existing.sequence, existing.expiresAt = request.Sequence, expiresAt
		p.replaceLoan(index, existing, replacement, now)
	}
	p.loans.updateNextExpiry()
}

// replaceLoan replaces the share of a loan. If the share grows, seed tokens are added, but at most once per leaseDuration:
// otherwise a share that moves back and forth between home shards would add them each time.
func (p *Pool) replaceLoan(index int, existing *loan, replacement Loan, now time.Time) {
	share := p.cappedShare(replacement)
	grown := share > existing.share
	existing.share, existing.homeShards = share, replacement.HomeShardCount
	group, total := p.groups[index], p.loans.totalShare(index)
	seedDue := existing.seededAt.IsZero() || now.Sub(existing.seededAt) > p.parameters.leaseDuration()
	if grown && seedDue && !replacement.Transferred {
		existing.seededAt = now
		group.addSeed(total-group.share, time.Duration(replacement.IdleMs)*time.Millisecond, now)
	}
	if total != group.share {
		group.setShare(total, now)
	}
}

// cappedShare returns the share of a loan, capped to a lender's share according to dataPlaneCount.
func (p *Pool) cappedShare(offered Loan) float64 {
	share := max(offered.Share, 0)
	if p.dataPlaneCount > 0 {
		share = min(share, 1/float64(p.dataPlaneCount*max(offered.HomeShardCount, 1)))
	}
	return share
}

// expireLoans ends the loans whose term is over. Each fills the buckets up to its own expiry.
func (p *Pool) expireLoans(now time.Time) {
	for p.loans.hasExpired(now) {
		end := p.loans.nextExpiry
		p.loans.endExpired(end)
		for index := range p.groups {
			p.updateShare(index, end)
		}
		p.loans.dropEnded(end.Add(-retentionTerms * p.parameters.LoanTerm))
		p.loans.updateNextExpiry()
	}
}

// Share returns the share of a group's limits that is lent to this home shard.
func (p *Pool) Share(group int, now time.Time) float64 {
	p.expireLoans(now)
	return p.groups[group].share
}

// TimeToNextToken returns the time until the tenant's next token if the share stays the same, at most maxWait. It returns
// maxWait if the tenant is unknown or nothing is lent.
func (p *Pool) TimeToNextToken(tenant string, maxWait time.Duration, now time.Time) time.Duration {
	p.expireLoans(now)
	group := p.groupOf(tenant)
	bucket := group.buckets[tenant]
	if bucket == nil || group.share <= 0 {
		return maxWait
	}
	bucket.accrue(group.share, now)
	return time.Duration(bucket.retryAfterMs(group.share, maxWait)) * time.Millisecond
}

// Borrow handles a request for tokens and grants as many of them as are available. In the first loan term after a share was
// newly lent, a reply without tokens is marked Unavailable and does not say that the tenant is over its limit: the shares of
// other lenders may not have arrived yet.
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
	isWarmingUp := now.Sub(group.lentSince) < p.parameters.LoanTerm
	if isWarmingUp {
		return BorrowReply{Tokens: given, Unavailable: given == 0}
	}
	return BorrowReply{
		Tokens:       given,
		RetryAfterMs: bucket.retryAfterMs(group.share, p.parameters.RenewalInterval),
	}
}
