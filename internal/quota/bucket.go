package quota

import (
	"math"
	"time"
)

// group is a group of tenants with the share of it that is lent.
type group struct {
	share float64
	// since is when something came to be lent.
	since   time.Time
	buckets map[string]*bucket
}

// bucket holds the tokens of one tenant, as of a moment.
type bucket struct {
	tokens float64
	at     time.Time
}

// sow adds the tokens that a share brings with it when it comes newly: the seed, and what it gained while it was idle.
func (p *Pool) sow(number int, share float64, idle time.Duration, now time.Time) {
	if share <= 0 {
		return
	}
	one := p.groups[number]
	for tenant, held := range one.buckets {
		p.accrue(one, tenant, held, now)
		limit := p.limits[tenant]
		gained := min(p.parameters.rate(limit)*idle.Seconds(), p.parameters.capacity(limit))
		held.tokens += share * (p.parameters.seed(limit) + gained)
	}
}

// setShare changes the share of a group from now on; tokens beyond what the new share may hold are lost.
func (p *Pool) setShare(number int, share float64, now time.Time) {
	one := p.groups[number]
	for tenant, held := range one.buckets {
		p.accrue(one, tenant, held, now)
	}
	if one.share == 0 {
		one.since = now
	}
	one.share = share
	p.clip(one)
}

func (p *Pool) accrue(one *group, tenant string, held *bucket, now time.Time) {
	if !now.After(held.at) {
		return
	}
	limit := p.limits[tenant]
	gained := one.share * p.parameters.rate(limit) * now.Sub(held.at).Seconds()
	ceiling := max(one.share*p.parameters.capacity(limit), held.tokens)
	held.tokens = min(held.tokens+gained, ceiling)
	held.at = now
}

func (p *Pool) accrueAll(now time.Time) {
	for _, one := range p.groups {
		for tenant, held := range one.buckets {
			p.accrue(one, tenant, held, now)
		}
	}
}

func (p *Pool) clip(one *group) {
	for tenant, held := range one.buckets {
		held.tokens = min(held.tokens, one.share*p.parameters.capacity(p.limits[tenant]))
	}
}

func (p *Pool) clipAll() {
	for _, one := range p.groups {
		p.clip(one)
	}
}

// rounding makes up for the rounding of sums of many small shares.
const rounding = 1e-9

// retry is the time until the bucket has a token again, in milliseconds, at most a renewal.
func (p *Pool) retry(one *group, tenant string, held *bucket) int64 {
	pace := one.share * p.parameters.rate(p.limits[tenant])
	missing := max(1-held.tokens, 0) / pace
	longest := p.parameters.Renewal.Milliseconds()
	return int64(min(math.Ceil(missing*1000), float64(longest)))
}
