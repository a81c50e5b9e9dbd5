package client

import (
	"sync"
	"time"
)

// Budgets holds a Budget for each service: further tries at a service are paid by its own requests.
type Budgets struct {
	// Daemon, Since, Period, Ratio and Slack are those of each Budget.
	Daemon string
	Since  time.Time
	Period time.Duration
	Ratio  float64
	Slack  float64

	lock      sync.Mutex
	byService map[string]*Budget
}

// Of is the budget of a service. Any goroutine may call it.
func (b *Budgets) Of(service string) *Budget {
	b.lock.Lock()
	defer b.lock.Unlock()
	held := b.byService[service]
	if held == nil {
		held = NewBudget(b.Period, b.Ratio, b.Slack)
		held.Daemon, held.Since = b.Daemon, b.Since
		if b.byService == nil {
			b.byService = map[string]*Budget{}
		}
		b.byService[service] = held
	}
	return held
}
