package proxy

import (
	"sync"
	"time"
)

// RetryBudgets holds a RetryBudget for each service: further tries at a service are paid by its own requests.
type RetryBudgets struct {
	// Daemon, Since, Period, Ratio and Slack are those of each RetryBudget.
	Node      string
	StartedAt time.Time
	Period    time.Duration
	Ratio     float64
	Slack     float64

	lock      sync.Mutex
	byBackend map[string]*RetryBudget
}

// Of is the budget of a service. Any goroutine may call it.
func (b *RetryBudgets) ForBackend(backend string) *RetryBudget {
	b.lock.Lock()
	defer b.lock.Unlock()
	budget := b.byBackend[backend]
	if budget == nil {
		budget = NewRetryBudget(b.Period, b.Ratio, b.Slack)
		budget.Node, budget.StartedAt = b.Node, b.StartedAt
		if b.byBackend == nil {
			b.byBackend = map[string]*RetryBudget{}
		}
		b.byBackend[backend] = budget
	}
	return budget
}
