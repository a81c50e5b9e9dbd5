package client

import (
	"strconv"
	"sync"
	"time"

	"ferryspar/internal/portion"
)

const (
	// budgetBins is into how many bins a period is cut.
	budgetBins = 64
	// budgetEpoch is how many periods a draw of the daemon's share holds.
	budgetEpoch = 16
	// usedShare is the part of the budget that is used.
	usedShare = 0.8
	// uncountShare is the part of the slack that is kept for daemons that are not counted.
	uncountShare = 0.1
)

// bin counts the requests and further tries of a part of a period.
type bin struct {
	number   int64
	requests int
	repeats  int
}

// Budget is this daemon's share of the further tries that all daemons together may send to replicas.
type Budget struct {
	// Daemon is the name that the share is drawn by.
	Daemon string
	// Since is when this life of the daemon began. The life before may have used its share of the
	// slack up to then, so this life has none of it until a period later; zero for no life before.
	Since time.Time
	lock  sync.Mutex
	// origin is the first moment seen. Spans since then go by the steady clock, which no step of the
	// time of day moves.
	origin time.Time
	period time.Duration
	ratio  float64
	slack  float64
	bins   [budgetBins + 2]bin
}

// NewBudget returns a budget of ratio further tries per request plus slack, in every span of a period.
func NewBudget(period time.Duration, ratio, slack float64) *Budget {
	return &Budget{period: period, ratio: ratio, slack: slack}
}

// elapsed is the time since the first moment seen. The caller holds the lock.
func (b *Budget) elapsed(at time.Time) time.Duration {
	if b.origin.IsZero() {
		b.origin = at
	}
	return max(at.Sub(b.origin), 0)
}

// number is that of the bin of a moment. The caller holds the lock.
func (b *Budget) number(at time.Time) int64 {
	return int64(b.elapsed(at)) / max(int64(b.period)/budgetBins, 1)
}

// bin is the bin of that number, emptied if it was that of an earlier one. The caller holds the lock.
func (b *Budget) bin(number int64) *bin {
	one := &b.bins[number%int64(len(b.bins))]
	if one.number != number {
		*one = bin{number: number}
	}
	return one
}

// Arrived counts a request of a client.
func (b *Budget) Arrived(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bin(b.number(now)).requests++
}

// Take tells whether one more try may be sent, and counts it. edges is the number of daemons that share the budget.
func (b *Budget) Take(now time.Time, edges int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	last, requests, repeats := b.number(now), 0, 0
	for _, one := range b.bins {
		if age := last - one.number; age >= 0 && age <= budgetBins {
			repeats += one.repeats
			if age < budgetBins {
				requests += one.requests
			}
		}
	}
	allowed := usedShare * b.ratio * float64(requests)
	if b.Since.IsZero() || now.Sub(b.Since) > b.period {
		allowed += b.slackShare(edges)
	}
	if repeats >= portion.RoundByDraw(allowed, b.draw(now)) {
		return false
	}
	b.bin(last).repeats++
	return true
}

// slackShare is this daemon's share of the slack, with a margin for what the draws of all may differ.
func (b *Budget) slackShare(edges int) float64 {
	count := float64(max(edges, 1))
	margin := min(count, portion.SpreadMargin(count), b.slack-portion.MeanWithin(b.slack)) + uncountShare*b.slack
	return max(min(usedShare*b.slack, b.slack-margin), 0) / count
}

// draw is this daemon's draw for the epoch. The caller holds the lock.
func (b *Budget) draw(now time.Time) float64 {
	epoch := float64(b.elapsed(now))/float64(budgetEpoch*b.period) + portion.Draw(b.Daemon, "")
	return portion.Draw(b.Daemon, strconv.FormatInt(int64(epoch), 10))
}
