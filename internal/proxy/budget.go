package proxy

import (
	"strconv"
	"sync"
	"time"

	"ferryspar/internal/apportion"
)

const (
	// budgetBuckets is into how many bins a period is cut.
	budgetBuckets = 64
	// periodsPerEpoch is how many periods a draw of the daemon's share holds.
	periodsPerEpoch = 16
	// usableShare is the part of the budget that is used.
	usableShare = 0.8
	// uncountedShare is the part of the slack that is kept for daemons that are not counted.
	uncountedShare = 0.1
)

// bucket counts the requests and further tries of a part of a period.
type bucket struct {
	index    int64
	requests int
	retries  int
}

// RetryBudget is this daemon's share of the further tries that all daemons together may send to replicas.
type RetryBudget struct {
	// Daemon is the name that the share is drawn by.
	Node string
	// Since is when this life of the daemon began. The life before may have used its share of the
	// slack up to then, so this life has none of it until a period later; zero for no life before.
	StartedAt time.Time
	lock      sync.Mutex
	// origin is the first moment seen. Spans since then go by the steady clock, which no step of the
	// time of day moves.
	origin  time.Time
	period  time.Duration
	ratio   float64
	slack   float64
	buckets [budgetBuckets + 2]bucket
}

// NewRetryBudget returns a budget of ratio further tries per request plus slack, in every span of a period.
func NewRetryBudget(period time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{period: period, ratio: ratio, slack: slack}
}

// elapsed is the time since the first moment seen. The caller holds the lock.
func (b *RetryBudget) elapsed(at time.Time) time.Duration {
	if b.origin.IsZero() {
		b.origin = at
	}
	return max(at.Sub(b.origin), 0)
}

// number is that of the bin of a moment. The caller holds the lock.
func (b *RetryBudget) bucketIndex(at time.Time) int64 {
	return int64(b.elapsed(at)) / max(int64(b.period)/budgetBuckets, 1)
}

// bucket is the bin of that number, emptied if it was that of an earlier one. The caller holds the lock.
func (b *RetryBudget) bucketAt(number int64) *bucket {
	slot := &b.buckets[number%int64(len(b.buckets))]
	if slot.index != number {
		*slot = bucket{index: number}
	}
	return slot
}

// Arrived counts a request of a client.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bucketAt(b.bucketIndex(now)).requests++
}

// Take tells whether one more try may be sent, and counts it. edges is the number of daemons that share the budget.
func (b *RetryBudget) Allow(now time.Time, edges int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	last, requests, retries := b.bucketIndex(now), 0, 0
	for _, slot := range b.buckets {
		if age := last - slot.index; age >= 0 && age <= budgetBuckets {
			retries += slot.retries
			if age < budgetBuckets {
				requests += slot.requests
			}
		}
	}
	allowed := usableShare * b.ratio * float64(requests)
	if b.StartedAt.IsZero() || now.Sub(b.StartedAt) > b.period {
		allowed += b.slackShare(edges)
	}
	if retries >= apportion.RoundByFraction(allowed, b.epochFraction(now)) {
		return false
	}
	b.bucketAt(last).retries++
	return true
}

// slackShare is this daemon's share of the slack, with a margin for what the draws of all may differ.
func (b *RetryBudget) slackShare(edges int) float64 {
	count := float64(max(edges, 1))
	margin := min(count, apportion.SpreadMargin(count), b.slack-apportion.MaxMeanWithin(b.slack)) + uncountedShare*b.slack
	return max(min(usableShare*b.slack, b.slack-margin), 0) / count
}

// draw is this daemon's draw for the epoch. The caller holds the lock.
func (b *RetryBudget) epochFraction(now time.Time) float64 {
	epoch := float64(b.elapsed(now))/float64(periodsPerEpoch*b.period) + apportion.HashFraction(b.Node, "")
	return apportion.HashFraction(b.Node, strconv.FormatInt(int64(epoch), 10))
}
