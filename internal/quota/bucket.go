package quota

import (
	"math"
	"time"
)

// rounding makes up for the rounding of sums of many small shares.
const rounding = 1e-9

const millisecondsPerSecond = 1000

// bucket holds the tokens of one tenant, as of a moment. rate, capacity and seed are those of the whole limit; a home
// shard has the part of them that is lent to it.
type bucket struct {
	tokens    float64
	updatedAt time.Time
	// rate is in tokens a second.
	rate     float64
	capacity float64
	// seed is how many tokens the share brings with it when it newly comes to a home shard.
	seed float64
}

func (b *bucket) setLimit(parameters Parameters, limit Limit) {
	b.rate = parameters.accrualRate(limit)
	b.capacity = parameters.capacity(limit)
	b.seed = parameters.seedTokens(limit)
}

// accrue adds the tokens gained with a share since the last update. Tokens beyond the capacity, which a seed may have
// brought, are kept but not added to.
func (b *bucket) accrue(share float64, now time.Time) {
	if !now.After(b.updatedAt) {
		return
	}
	gained := share * b.rate * now.Sub(b.updatedAt).Seconds()
	limit := max(share*b.capacity, b.tokens)
	b.tokens = min(b.tokens+gained, limit)
	b.updatedAt = now
}

// addSeed adds the tokens that a share brings with it: the seed, and what it gained while nobody could use it.
func (b *bucket) addSeed(share float64, idle time.Duration) {
	gained := min(b.rate*idle.Seconds(), b.capacity)
	b.tokens += share * (b.seed + gained)
}

// clip drops the tokens beyond what a share may hold.
func (b *bucket) clip(share float64) { b.tokens = min(b.tokens, share*b.capacity) }

// take removes and returns as many whole tokens as there are, at most the requested ones.
func (b *bucket) take(requested int) int {
	given := int(min(math.Floor(b.tokens+rounding), float64(max(requested, 0))))
	b.tokens = max(b.tokens-float64(given), 0)
	return given
}

// retryAfterMs is the time until there is a token again, in milliseconds, at most the given one.
func (b *bucket) retryAfterMs(share float64, longest time.Duration) int64 {
	missingS := max(1-b.tokens, 0) / (share * b.rate)
	return int64(min(math.Ceil(missingS*millisecondsPerSecond), float64(longest.Milliseconds())))
}

// group holds the buckets of a group of tenants, and the share of their limits that is lent to this home shard.
type group struct {
	share float64
	// lentSince is when the share last grew from zero.
	lentSince time.Time
	buckets   map[string]*bucket
}

func (g *group) accrue(now time.Time) {
	for _, bucket := range g.buckets {
		bucket.accrue(g.share, now)
	}
}

// addSeed adds the tokens that a share brings with it when it newly comes to this home shard.
func (g *group) addSeed(share float64, idle time.Duration, now time.Time) {
	if share <= 0 {
		return
	}
	g.accrue(now)
	for _, bucket := range g.buckets {
		bucket.addSeed(share, idle)
	}
}

// setShare changes the share from now on; tokens beyond what the new share may hold are lost.
func (g *group) setShare(share float64, now time.Time) {
	g.accrue(now)
	if g.share == 0 {
		g.lentSince = now
	}
	g.share = share
	g.clip()
}

func (g *group) clip() {
	for _, bucket := range g.buckets {
		bucket.clip(g.share)
	}
}
