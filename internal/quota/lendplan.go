package quota

import (
	"maps"
	"slices"
	"time"
)

// Offer is a LendRequest with the home shard that it is to be sent to.
type Offer struct {
	HomeShard string
	Request   LendRequest
}

// lendPlan collects the requests of one call of Lender.Plan, at most one to each home shard.
type lendPlan struct {
	lender   *Lender
	requests map[string]*LendRequest
	// order holds the home shards in the order of their first use.
	order []string
}

// requestTo returns the request to a home shard. It creates one without loans if there is none yet.
func (p *lendPlan) requestTo(homeShard string) *LendRequest {
	if request := p.requests[homeShard]; request != nil {
		return request
	}
	p.lender.lastSequence++
	request := &LendRequest{
		DataPlane:         p.lender.dataPlane,
		LenderIncarnation: p.lender.incarnation,
		Sequence:          p.lender.lastSequence,
		Stamp:             p.lender.homeShard(homeShard).stamp,
	}
	p.requests[homeShard] = request
	p.order = append(p.order, homeShard)
	return request
}

// offers returns the requests in the order of the first use of their home shards.
func (p *lendPlan) offers() []Offer {
	offers := make([]Offer, 0, len(p.order))
	for _, homeShard := range p.order {
		offers = append(offers, Offer{HomeShard: homeShard, Request: *p.requests[homeShard]})
	}
	return offers
}

// Plan returns the requests to send now, and records their loans as leased. candidates holds the names of the data planes
// that may be home shards, which may include this one.
func (l *Lender) Plan(candidates []string, now time.Time) []Offer {
	l.leases.expire(now)
	plan := &lendPlan{lender: l, requests: map[string]*LendRequest{}}
	for group := range l.groups {
		l.planGroup(plan, group, RankHomeShards(group, candidates), now)
	}
	l.dropStaleHomeShards(candidates, now)
	return plan.offers()
}

// dropStaleHomeShards drops the state of data planes that are no longer candidates, once it has no effect: they are
// unresponsive, and their probe is due. Otherwise the map would grow without bound, since replaced machines have new names.
func (l *Lender) dropStaleHomeShards(candidates []string, now time.Time) {
	maps.DeleteFunc(l.homeShards, func(name string, shard *homeShard) bool {
		return !l.isResponsive(shard, now) && !now.Before(shard.skipUntil) && !slices.Contains(candidates, name)
	})
}

// planGroup chooses the home shards of a group, lends to them, and probes unresponsive candidates.
func (l *Lender) planGroup(plan *lendPlan, group int, ranked []string, now time.Time) {
	chosen, probed := l.chooseHomeShards(ranked, now)
	for _, homeShard := range probed {
		plan.requestTo(homeShard)
	}
	parts := min(len(chosen)+l.countAwaitingFirstReply(probed), l.parameters.HomeShardsPerGroup)
	for _, homeShard := range chosen {
		request := plan.requestTo(homeShard)
		if share := l.leaseShare(homeShard, group, parts, now); share > 0 {
			request.Loans = append(request.Loans, Loan{
				Group:          group,
				Share:          share,
				HomeShardCount: parts,
				Transferred:    l.recentlyReleased(group, now),
				IdleMs:         l.idleTime(group, now).Milliseconds(),
			})
		}
	}
	state := &l.groups[group]
	state.homeShards = chosen
	state.hasLent = state.hasLent || l.mayLend(now) && len(chosen) > 0
}

// countAwaitingFirstReply counts the probed home shards without a failed call, whose first reply is awaited. Their part is not
// lent to others meanwhile, since it would be leased there for a whole term.
func (l *Lender) countAwaitingFirstReply(probed []string) int {
	count := 0
	for _, name := range probed {
		if l.homeShard(name).failures == 0 {
			count++
		}
	}
	return count
}

// chooseHomeShards returns the highest ranked responsive home shards, and the unresponsive ones to probe.
func (l *Lender) chooseHomeShards(ranked []string, now time.Time) (chosen, probed []string) {
	wanted := l.parameters.HomeShardsPerGroup
	for _, name := range ranked {
		if len(chosen) >= wanted {
			break
		}
		shard := l.homeShard(name)
		switch {
		case l.isResponsive(shard, now):
			chosen = append(chosen, name)
		case len(probed) < wanted && !now.Before(shard.skipUntil):
			probed = append(probed, name)
		}
	}
	return chosen, probed
}

// isResponsive reports whether the last stamp of a home shard is recent enough to lend on.
func (l *Lender) isResponsive(shard *homeShard, now time.Time) bool {
	longest := time.Duration(maxStampAgeTerms * float64(l.parameters.LoanTerm))
	return shard.stamp.Incarnation != "" && now.Sub(shard.answeredAt) < longest
}

// leaseShare leases a home shard its part of a group's share, less what is still leased to others, and returns it.
func (l *Lender) leaseShare(homeShard string, group, homeShards int, now time.Time) float64 {
	if !l.mayLend(now) {
		return 0
	}
	elsewhere := l.leases.leasedElsewhere(group, homeShard)
	share := min(l.share/float64(homeShards), l.share-elsewhere)
	if share <= 0 {
		return 0
	}
	l.leases.add(leaseKey{homeShard, group}, lease{
		share:     share,
		expiresAt: now.Add(l.parameters.leaseDuration()),
	})
	return share
}

// idleTime returns how long no home shard has held the share of a group: the time since this process started if the whole
// fleet has restarted and the share was not lent yet, else zero.
func (l *Lender) idleTime(group int, now time.Time) time.Duration {
	if !l.fleetRestarted || l.groups[group].hasLent {
		return 0
	}
	return now.Sub(l.startedAt)
}

// recentlyReleased reports whether a part of the group's share was released so recently that it must not add seed tokens at
// another home shard.
func (l *Lender) recentlyReleased(group int, now time.Time) bool {
	releasedAt := l.groups[group].releasedAt
	return !releasedAt.IsZero() && now.Sub(releasedAt) < l.parameters.leaseDuration()
}
