package quota

import (
	"math"
	"time"
)

// group is a group of tenants with the share of it that is lent.
type group struct {
	share float64
	// since is when something came to be lent.
	lentSince time.Time
	buckets   map[string]*bucket
}

// bucket holds the tokens of one tenant, as of a moment.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// sow adds the tokens that a share brings with it when it comes newly: the seed, and what it gained while it was idle.
func (p *Pool) addSeedTokens(number int, share float64, idle time.Duration, now time.Time) {
	if share <= 0 {
		return
	}
	group := p.groups[number]
	for tenant, bucket := range group.buckets {
		p.accrue(group, tenant, bucket, now)
		limit := p.limits[tenant]
		gained := min(p.parameters.accrualRate(limit)*idle.Seconds(), p.parameters.capacity(limit))
		bucket.tokens += share * (p.parameters.seedTokens(limit) + gained)
	}
}

// setShare changes the share of a group from now on; tokens beyond what the new share may hold are lost.
func (p *Pool) setShare(number int, share float64, now time.Time) {
	group := p.groups[number]
	for tenant, bucket := range group.buckets {
		p.accrue(group, tenant, bucket, now)
	}
	if group.share == 0 {
		group.lentSince = now
	}
	group.share = share
	p.clip(group)
}

func (p *Pool) accrue(one *group, tenant string, held *bucket, now time.Time) {
	if !now.After(held.updatedAt) {
		return
	}
	limit := p.limits[tenant]
	gained := one.share * p.parameters.accrualRate(limit) * now.Sub(held.updatedAt).Seconds()
	ceiling := max(one.share*p.parameters.capacity(limit), held.tokens)
	held.tokens = min(held.tokens+gained, ceiling)
	held.updatedAt = now
}

func (p *Pool) accrueAll(now time.Time) {
	for _, group := range p.groups {
		for tenant, bucket := range group.buckets {
			p.accrue(group, tenant, bucket, now)
		}
	}
}

func (p *Pool) clip(one *group) {
	for tenant, bucket := range one.buckets {
		bucket.tokens = min(bucket.tokens, one.share*p.parameters.capacity(p.limits[tenant]))
	}
}

func (p *Pool) clipAll() {
	for _, group := range p.groups {
		p.clip(group)
	}
}

// rounding makes up for the rounding of sums of many small shares.
const rounding = 1e-9

// retry is the time until the bucket has a token again, in milliseconds, at most a renewal.
func (p *Pool) retryAfterMs(one *group, tenant string, held *bucket) int64 {
	pace := one.share * p.parameters.accrualRate(p.limits[tenant])
	missing := max(1-held.tokens, 0) / pace
	longest := p.parameters.RenewalInterval.Milliseconds()
	return int64(min(math.Ceil(missing*1000), float64(longest)))
}
