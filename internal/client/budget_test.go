package client

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestGivenManyDaemonsThenTheirSharesStayWithinTheBudget(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	edges, orders, total := 8, 40, 0
	for range edges {
		budget := NewBudget(10*time.Second, 0.2, 50)
		for range orders {
			budget.Arrived(now)
		}
		for budget.Take(now, edges) {
			total++
		}
		assert.Assert(t, !budget.Take(now.Add(9*time.Second), edges))
	}
	assert.Assert(t, total > 0 && float64(total) <= 0.2*float64(edges*orders)+50)
}

func TestGivenAPeriodGoneByThenTheBudgetIsThereAgain(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	budget := NewBudget(10*time.Second, 0.2, 10)
	for budget.Take(now, 2) {
	}
	assert.Assert(t, budget.Take(now.Add(11*time.Second), 2))
}
