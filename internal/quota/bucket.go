package quota

import (
	"math"
	"time"
)

// roundingTolerance compensates for rounding errors in sums of many small shares.
const roundingTolerance = 1e-9

const millisecondsPerSecond = 1000

// bucket is the token bucket of one tenant at a home shard. rate, capacity and seed are those of the whole limit; the home
// shard's share of them is in force.
type bucket struct {
	tokens    float64
	updatedAt time.Time
	// rate is in tokens per second.
	rate     float64
	capacity float64
	// seed is the number of tokens that are added when the whole limit is newly lent to a home shard.
	seed float64
}

// setLimit derives the rate, the capacity and the seed from the limit.
func (b *bucket) setLimit(parameters Parameters, limit Limit) {
	b.rate = parameters.accrualRate(limit)
	b.capacity = parameters.capacity(limit)
	b.seed = parameters.seedTokens(limit)
}

// accrue adds the tokens gained with the share since the last update, up to the capacity. Tokens beyond the capacity, which a
// seed may have added, are kept.
func (b *bucket) accrue(share float64, now time.Time) {
	if !now.After(b.updatedAt) {
		return
	}
	gained := share * b.rate * now.Sub(b.updatedAt).Seconds()
	limit := max(share*b.capacity, b.tokens)
	b.tokens = min(b.tokens+gained, limit)
	b.updatedAt = now
}

// addSeed adds the seed of a newly lent share, and the tokens that it would have gained in the idle time, when no home shard
// held it.
func (b *bucket) addSeed(share float64, idle time.Duration) {
	gained := min(b.rate*idle.Seconds(), b.capacity)
	b.tokens += share * (b.seed + gained)
}

// clip drops the tokens beyond the capacity of the share.
func (b *bucket) clip(share float64) { b.tokens = min(b.tokens, share*b.capacity) }

// take removes up to the requested number of whole tokens and returns how many it removed.
func (b *bucket) take(requested int) int {
	given := int(min(math.Floor(b.tokens+roundingTolerance), float64(max(requested, 0))))
	b.tokens = max(b.tokens-float64(given), 0)
	return given
}

// retryAfterMs returns the time until the next token, in milliseconds, at most maxWait.
func (b *bucket) retryAfterMs(share float64, maxWait time.Duration) int64 {
	missingS := max(1-b.tokens, 0) / (share * b.rate)
	return int64(min(math.Ceil(missingS*millisecondsPerSecond), float64(maxWait.Milliseconds())))
}

// group holds the token buckets of a group of tenants, and the share of their limits that is lent to this home shard.
type group struct {
	share float64
	// lentSince is when the share last grew from zero.
	lentSince time.Time
	buckets   map[string]*bucket
}

// accrue brings all buckets of the group up to date.
func (g *group) accrue(now time.Time) {
	for _, bucket := range g.buckets {
		bucket.accrue(g.share, now)
	}
}

// addSeed adds the seeds of a share that is newly lent to this home shard to all buckets.
func (g *group) addSeed(share float64, idle time.Duration, now time.Time) {
	if share <= 0 {
		return
	}
	g.accrue(now)
	for _, bucket := range g.buckets {
		bucket.addSeed(share, idle)
	}
}

// setShare changes the share from now on. Tokens beyond the capacity of the new share are dropped.
func (g *group) setShare(share float64, now time.Time) {
	g.accrue(now)
	if g.share == 0 {
		g.lentSince = now
	}
	g.share = share
	g.clip()
}

// clip drops the tokens of all buckets beyond the capacity of the share.
func (g *group) clip() {
	for _, bucket := range g.buckets {
		bucket.clip(g.share)
	}
}
