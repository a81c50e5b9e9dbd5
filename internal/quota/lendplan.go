package quota

import (
	"maps"
	"slices"
	"time"
)

// Offer is a request to be sent to a home shard.
type Offer struct {
	HomeShard string
	Request   LendRequest
}

// lendPlan collects the requests of one round, at most one to each home shard.
type lendPlan struct {
	lender   *Lender
	requests map[string]*LendRequest
	// order holds the home shards in the order in which they were first needed.
	order []string
}

// requestTo returns the request to a home shard, a new one without loans if there is none yet.
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

func (p *lendPlan) offers() []Offer {
	offers := make([]Offer, 0, len(p.order))
	for _, homeShard := range p.order {
		offers = append(offers, Offer{HomeShard: homeShard, Request: *p.requests[homeShard]})
	}
	return offers
}

// Plan returns the requests to send now, and records what they lend as leased. candidates are the names of the data
// planes that may be home shards, which may include this one.
func (l *Lender) Plan(candidates []string, now time.Time) []Offer {
	l.leases.expire(now)
	plan := &lendPlan{lender: l, requests: map[string]*LendRequest{}}
	for group := range l.groups {
		l.planGroup(plan, group, RankHomeShards(group, candidates), now)
	}
	l.forgetHomeShards(candidates, now)
	return plan.offers()
}

// forgetHomeShards forgets data planes that are home shards no more, once nothing that is remembered of them matters: they
// don't reply, and may be asked again. Machines come and go under ever new names.
func (l *Lender) forgetHomeShards(candidates []string, now time.Time) {
	maps.DeleteFunc(l.homeShards, func(name string, shard *homeShard) bool {
		return !l.isResponsive(shard, now) && !now.Before(shard.skipUntil) && !slices.Contains(candidates, name)
	})
}

// planGroup chooses the home shards of a group, lends to them, and probes those that may reply again.
func (l *Lender) planGroup(plan *lendPlan, group int, ranked []string, now time.Time) {
	chosen, probed := l.chooseHomeShards(ranked, now)
	for _, homeShard := range probed {
		plan.requestTo(homeShard)
	}
	parts := min(len(chosen)+l.countAwaited(probed), l.parameters.HomeShardsPerGroup)
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

// countAwaited counts the home shards whose first reply is awaited. Their part is not lent to others meanwhile: it would be
// bound there for a term.
func (l *Lender) countAwaited(probed []string) int {
	count := 0
	for _, name := range probed {
		if l.homeShard(name).failures == 0 {
			count++
		}
	}
	return count
}

// chooseHomeShards picks the first ranked home shards that reply, and those to be asked whether they do.
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

func (l *Lender) isResponsive(shard *homeShard, now time.Time) bool {
	longest := time.Duration(maxStampAge * float64(l.parameters.LoanTerm))
	return shard.stamp.Incarnation != "" && now.Sub(shard.answeredAt) < longest
}

// leaseShare leases to a home shard its part of a group, as far as that isn't leased to others, and returns it.
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

// idleTime is for how long nobody could use the share of a group: since this process started if the whole fleet
// restarted, else zero.
func (l *Lender) idleTime(group int, now time.Time) time.Duration {
	if !l.fleetRestarted || l.groups[group].hasLent {
		return 0
	}
	return now.Sub(l.startedAt)
}

// recentlyReleased reports whether a part of the group was released so recently that it must not bring tokens to a home
// shard.
func (l *Lender) recentlyReleased(group int, now time.Time) bool {
	releasedAt := l.groups[group].releasedAt
	return !releasedAt.IsZero() && now.Sub(releasedAt) < l.parameters.leaseDuration()
}
