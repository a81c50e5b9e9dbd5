package proxy

import (
	"strconv"
	"sync"
	"time"

	"ferryspar/internal/apportion"
)

const (
	// budgetBuckets is into how many buckets a period is divided.
	budgetBuckets = 64
	// periodsPerEpoch is how many periods a node's fraction holds.
	periodsPerEpoch = 16
	// usableShare is the part of the budget that is used.
	usableShare = 0.8
	// uncountedShare is the part of the slack that is kept for nodes that are not counted.
	uncountedShare = 0.1
)

// RetryBudgetOptions are the limits of a RetryBudget, and whose it is.
type RetryBudgetOptions struct {
	// Node is the name of the data plane, which its share is drawn by.
	Node string
	// StartedAt is when this incarnation of the node began. The one before may have used its share of the slack up to then,
	// so this one has none of it until a period later; zero if there was none before.
	StartedAt time.Time
	// Period is any span of time in which all nodes together may send Ratio retries per request, and Slack beside these.
	Period time.Duration
	Ratio  float64
	Slack  float64
}

// RetryBudget is this node's share of the retries that all nodes together may send to replicas. It may be used by any
// number of goroutines.
type RetryBudget struct {
	options RetryBudgetOptions

	// lock guards what follows.
	lock sync.Mutex
	// origin is the first moment seen. Times since then go by the monotonic clock, which no step of the time of day moves.
	origin  time.Time
	buckets [budgetBuckets + 2]bucket
}

// bucket counts the requests and retries in a part of a period.
type bucket struct {
	index    int64
	requests int
	retries  int
}

// NewRetryBudget returns a budget of which nothing has been used.
func NewRetryBudget(options RetryBudgetOptions) *RetryBudget { return &RetryBudget{options: options} }

// RecordRequest counts a request of a client.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bucketAt(b.bucketIndex(now)).requests++
}

// Allow reports whether one more retry may be sent, and counts it. dataPlanes is the number of nodes that share
// the budget.
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

// countSince counts the requests and retries of the period that ends with the bucket. Retries count for one bucket longer,
// so that no span of a period holds more of them. The caller holds the lock.
func (b *RetryBudget) countSince(last int64) (requests, retries int) {
	for index := range b.buckets {
		counted := &b.buckets[index]
		age := last - counted.index
		if age < 0 || age > budgetBuckets {
			continue
		}
		retries += counted.retries
		if age < budgetBuckets {
			requests += counted.requests
		}
	}
	return requests, retries
}

// elapsed is the time since the first moment seen. The caller holds the lock.
func (b *RetryBudget) elapsed(now time.Time) time.Duration {
	if b.origin.IsZero() {
		b.origin = now
	}
	return max(now.Sub(b.origin), 0)
}

// bucketIndex is that of the bucket of a moment. The caller holds the lock.
func (b *RetryBudget) bucketIndex(now time.Time) int64 {
	return int64(b.elapsed(now)) / max(int64(b.options.Period)/budgetBuckets, 1)
}

// bucketAt is the bucket of that index, emptied if it was that of an earlier one. The caller holds the lock.
func (b *RetryBudget) bucketAt(index int64) *bucket {
	found := &b.buckets[index%int64(len(b.buckets))]
	if found.index != index {
		*found = bucket{index: index}
	}
	return found
}

// slackShare is this node's share of the slack, with a margin for what the rounding of all nodes may add up to.
func (b *RetryBudget) slackShare(dataPlanes int) float64 {
	slack := b.options.Slack
	count := float64(max(dataPlanes, 1))
	margin := min(count, apportion.HoeffdingMargin(count), slack-apportion.MaxMeanWithin(slack)) + uncountedShare*slack
	return max(min(usableShare*slack, slack-margin), 0) / count
}

// epochFraction is this node's fraction for rounding in the present epoch. Epochs begin at another moment at each node. The
// caller holds the lock.
func (b *RetryBudget) epochFraction(now time.Time) float64 {
	length := float64(periodsPerEpoch * b.options.Period)
	epoch := float64(b.elapsed(now))/length + apportion.HashFraction(b.options.Node, "")
	return apportion.HashFraction(b.options.Node, strconv.FormatInt(int64(epoch), 10))
}

// RetryBudgets holds a RetryBudget for each backend: retries at a backend are paid for by its own requests. It may be used
// by any number of goroutines.
type RetryBudgets struct {
	options RetryBudgetOptions

	// lock guards byBackend.
	lock      sync.Mutex
	byBackend map[string]*RetryBudget
}

// NewRetryBudgets returns budgets that each have the options.
func NewRetryBudgets(options RetryBudgetOptions) *RetryBudgets {
	return &RetryBudgets{options: options, byBackend: map[string]*RetryBudget{}}
}

// ForBackend is the budget of a backend.
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
