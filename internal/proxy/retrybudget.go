package proxy

import (
	"strconv"
	"sync"
	"time"

	"ferryspar/internal/apportion"
)

const (
	// bucketsPerPeriod is the number of buckets that a period is divided into.
	bucketsPerPeriod = 64
	// periodsPerEpoch is the number of periods for which a node keeps its rounding fraction.
	periodsPerEpoch = 16
	// usableShare is the fraction of the budget that is used.
	usableShare = 0.8
	// uncountedNodeReserve is the fraction of the slack reserved for nodes that are not counted.
	uncountedNodeReserve = 0.1
)

// RetryBudgetOptions configures a RetryBudget.
type RetryBudgetOptions struct {
	// Node is the name of the data plane, from which its rounding fractions are derived.
	Node string
	// StartedAt is when this incarnation of the node started, zero if it is the first. The previous incarnation may have used
	// its share of the slack until then, so this one gets its share only a period later.
	StartedAt time.Time
	// Period is the length of the sliding window in which all nodes together may send Ratio retries per request, plus Slack.
	Period time.Duration
	Ratio  float64
	Slack  float64
}

// RetryBudget is this node's share of the retries that all nodes together may send to replicas. It is safe for concurrent use.
type RetryBudget struct {
	options RetryBudgetOptions

	// lock guards the fields below.
	lock sync.Mutex
	// origin is the first time passed in. Times are measured from it by the monotonic clock, which steps of the wall clock do not
	// affect.
	origin  time.Time
	buckets [bucketsPerPeriod + 2]bucket
}

// bucket counts the requests and retries within one of the equal parts of a period.
type bucket struct {
	index    int64
	requests int
	retries  int
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(options RetryBudgetOptions) *RetryBudget { return &RetryBudget{options: options} }

// RecordRequest counts a client request.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bucketAt(b.bucketIndex(now)).requests++
}

// Allow reports whether one more retry may be sent, and counts it if so. dataPlanes is the number of nodes that share the
// budget.
func (b *RetryBudget) Allow(now time.Time, dataPlanes int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	last := b.bucketIndex(now)
	requests, retries := b.countSince(last)
	allowed := usableShare * b.options.Ratio * float64(requests)
	if startedAt := b.options.StartedAt; startedAt.IsZero() || now.Sub(startedAt) > b.options.Period {
		allowed += b.slackShare(dataPlanes)
	}
	if retries >= apportion.RoundByFraction(allowed, b.epochFraction(now)) {
		return false
	}
	b.bucketAt(last).retries++
	return true
}

// countSince counts the requests and retries of the period that ends with the bucket. Retries count for one bucket more than
// requests, so that the limit holds in every sliding window of a period. The caller holds the lock.
func (b *RetryBudget) countSince(last int64) (requests, retries int) {
	for index := range b.buckets {
		counted := &b.buckets[index]
		age := last - counted.index
		if age < 0 || age > bucketsPerPeriod {
			continue
		}
		retries += counted.retries
		if age < bucketsPerPeriod {
			requests += counted.requests
		}
	}
	return requests, retries
}

// elapsed returns the time since origin, which it sets on the first call. The caller holds the lock.
func (b *RetryBudget) elapsed(now time.Time) time.Duration {
	if b.origin.IsZero() {
		b.origin = now
	}
	return max(now.Sub(b.origin), 0)
}

// bucketIndex returns the index of the bucket that contains the time. The caller holds the lock.
func (b *RetryBudget) bucketIndex(now time.Time) int64 {
	return int64(b.elapsed(now)) / max(int64(b.options.Period)/bucketsPerPeriod, 1)
}

// bucketAt returns the bucket with the index, cleared if it held an earlier index. The caller holds the lock.
func (b *RetryBudget) bucketAt(index int64) *bucket {
	found := &b.buckets[index%int64(len(b.buckets))]
	if found.index != index {
		*found = bucket{index: index}
	}
	return found
}

// slackShare returns this node's share of the slack, after a margin for the sum of the roundings of all nodes.
func (b *RetryBudget) slackShare(dataPlanes int) float64 {
	slack := b.options.Slack
	count := float64(max(dataPlanes, 1))
	margin := min(count, apportion.HoeffdingMargin(count), slack-apportion.MaxMeanWithin(slack)) + uncountedNodeReserve*slack
	return max(min(usableShare*slack, slack-margin), 0) / count
}

// epochFraction returns this node's rounding fraction in the present epoch. Epochs begin at a different time at each node. The
// caller holds the lock.
func (b *RetryBudget) epochFraction(now time.Time) float64 {
	length := float64(periodsPerEpoch * b.options.Period)
	epoch := float64(b.elapsed(now))/length + apportion.HashFraction(b.options.Node, "")
	return apportion.HashFraction(b.options.Node, strconv.FormatInt(int64(epoch), 10))
}

// RetryBudgets holds a RetryBudget for each backend: the retries at a backend are limited by the requests to it. It is safe for
// concurrent use.
type RetryBudgets struct {
	options RetryBudgetOptions

	// lock guards byBackend.
	lock      sync.Mutex
	byBackend map[string]*RetryBudget
}

// NewRetryBudgets returns budgets that all have the same options.
func NewRetryBudgets(options RetryBudgetOptions) *RetryBudgets {
	return &RetryBudgets{options: options, byBackend: map[string]*RetryBudget{}}
}

// ForBackend returns the budget of a backend.
func (b *RetryBudgets) ForBackend(backend string) *RetryBudget {
	b.lock.Lock()
	defer b.lock.Unlock()
	budget := b.byBackend[backend]
	if budget == nil {
		budget = NewRetryBudget(b.options)
		b.byBackend[backend] = budget
	}
	return budget
}
