package client

import (
	"sync"
	"time"
)

type Budget struct {
	lock   sync.Mutex
	period time.Duration
	ratio  float64
	slack  float64
	orders []time.Time
	repeat []time.Time
}

func NewBudget(period time.Duration, ratio, slack float64) *Budget {
	return &Budget{period: period, ratio: ratio, slack: slack}
}

func trim(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	return times
}

func (b *Budget) Arrived(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.orders = append(trim(b.orders, now.Add(-b.period)), now)
}

func (b *Budget) Take(now time.Time, edges int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	from := now.Add(-b.period)
	b.orders, b.repeat = trim(b.orders, from), trim(b.repeat, from)
	allowed := 0.8 * (b.ratio*float64(len(b.orders)) + b.slack/float64(max(edges, 1)))
	if float64(len(b.repeat)+1) > allowed {
		return false
	}
	b.repeat = append(b.repeat, now)
	return true
}
