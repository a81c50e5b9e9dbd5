package proxy

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/keystoresim"
)

// testSlack is the slack of the budgets that newNodeBudgets returns.
const testSlack = 56

var budgetStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newBudget returns a budget that allows retries of a fifth of the requests, plus the slack, in any 10 s.
func newBudget(slack float64) *RetryBudget {
	return NewRetryBudget(RetryBudgetOptions{Period: 10 * time.Second, Ratio: 0.2, Slack: slack})
}

// newNodeBudget returns the budget of the node with the index.
func newNodeBudget(index int, startedAt time.Time) *RetryBudget {
	return NewRetryBudget(RetryBudgetOptions{
		Node:      "edge-" + strconv.Itoa(index),
		StartedAt: startedAt,
		Period:    10 * time.Second,
		Ratio:     0.2,
		Slack:     testSlack,
	})
}

// newNodeBudgets returns the budgets of all nodes of a fleet.
func newNodeBudgets(dataPlanes int) []*RetryBudget {
	budgets := make([]*RetryBudget, dataPlanes)
	for index := range budgets {
		budgets[index] = newNodeBudget(index, time.Time{})
	}
	return budgets
}

const (
	// historyStep is the duration of a step of retryHistory.
	historyStep = 500 * time.Millisecond
	// stepsPerPeriod is the number of steps in the period of the budgets.
	stepsPerPeriod = 20
)

// retryHistory holds the requests and retries of all nodes together, by step.
type retryHistory struct {
	requests []int
	retries  []int
}

// add adds a step and asserts that the budget holds in the period that ends with it.
func (h *retryHistory) add(t *testing.T, requests, retries int, setting string) {
	t.Helper()
	h.requests, h.retries = append(h.requests, requests), append(h.retries, retries)
	totalRequests, totalRetries := 0, 0
	for step := max(len(h.requests)-stepsPerPeriod, 0); step < len(h.requests); step++ {
		totalRequests += h.requests[step]
		totalRetries += h.retries[step]
	}
	assert.Assert(t, float64(totalRetries) <= 0.2*float64(totalRequests)+testSlack,
		"%s: %d retries of %d requests", setting, totalRetries, totalRequests)
}

// useAll takes retries until the budget allows no more, and returns their number.
func useAll(budget *RetryBudget, now time.Time, dataPlanes int) int {
	retries := 0
	for budget.Allow(now, dataPlanes) {
		retries++
	}
	return retries
}

func TestRetryBudget_SharesStayWithinTotal(t *testing.T) {
	dataPlanes, requests, total := 8, 40, 0
	for range dataPlanes {
		budget := newBudget(50)
		for range requests {
			budget.RecordRequest(budgetStart)
		}
		total += useAll(budget, budgetStart, dataPlanes)
		assert.Assert(t, !budget.Allow(budgetStart.Add(9*time.Second), dataPlanes))
	}
	assert.Assert(t, total > 0 && float64(total) <= 0.2*float64(dataPlanes*requests)+50)
}

func TestRetryBudget_RefillsAfterPeriod(t *testing.T) {
	budget := newBudget(10)
	useAll(budget, budgetStart, 2)
	assert.Assert(t, budget.Allow(budgetStart.Add(11*time.Second), 2))
}

func TestRetryBudget_NoPeriodExceedsTotal(t *testing.T) {
	draw := rand.New(rand.NewPCG(11, 12))
	for _, dataPlanes := range []int{1, 8, 81, 400} {
		for _, perSecond := range []float64{0, 0.05, 0.3, 2} {
			budgets, counted := newNodeBudgets(dataPlanes), max(dataPlanes*10/11, 1)
			setting := strconv.Itoa(dataPlanes) + " nodes, " + strconv.FormatFloat(perSecond, 'g', -1, 64) + " requests a second"
			var history retryHistory
			for step := range 400 {
				now := budgetStart.Add(time.Duration(step+1) * historyStep)
				requests, retries := 0, 0
				for _, budget := range budgets {
					if draw.Float64() < perSecond/2 {
						budget.RecordRequest(now)
						requests++
					}
					retries += useAll(budget, now, counted)
				}
				history.add(t, requests, retries, setting)
			}
		}
	}
}

func TestRetryBudget_FewRequestsStillAllowRetries(t *testing.T) {
	for _, budget := range newNodeBudgets(400)[:40] {
		now, retries := budgetStart, 0
		for range 1200 {
			now = now.Add(10 * time.Second)
			budget.RecordRequest(now)
			if budget.Allow(now, 400) {
				retries++
			}
		}
		assert.Assert(t, retries > 20 && retries < 600, "%d of 1200", retries)
	}
}

func TestRetryBudget_AllocatesNothing(t *testing.T) {
	budget, now := newBudget(testSlack), budgetStart
	allocated := testing.AllocsPerRun(5000, func() {
		now = now.Add(time.Millisecond)
		budget.RecordRequest(now)
	})
	assert.Equal(t, allocated, 0.0)
}

func BenchmarkRetryBudget_Allow(b *testing.B) {
	budget, now := newNodeBudget(0, time.Time{}), budgetStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.RecordRequest(now)
		budget.Allow(now, 400)
	}
}

func TestRetryBudget_IgnoresWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -11 * time.Second, 11 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			budget := newBudget(50)
			useAll(budget, keystoresim.OffsetWallClock(budgetStart, 0), 2)
			for seconds := range 9 {
				now := budgetStart.Add(time.Duration(seconds) * time.Second)
				assert.Assert(t, !budget.Allow(keystoresim.OffsetWallClock(now, step), 2), "after %d s", seconds)
			}
			assert.Assert(t, budget.Allow(keystoresim.OffsetWallClock(budgetStart.Add(11*time.Second), step), 2))
		})
	}
}

func TestRetryBudget_RestartsStayWithinTotal(t *testing.T) {
	draw := rand.New(rand.NewPCG(13, 14))
	for _, dataPlanes := range []int{1, 3, 8, 81} {
		budgets := newNodeBudgets(dataPlanes)
		var history retryHistory
		for step := range 400 {
			now := budgetStart.Add(time.Duration(step+1) * historyStep)
			requests, retries := 0, 0
			for index := range budgets {
				if draw.IntN(20) == 0 || step%100 == 50 {
					budgets[index] = newNodeBudget(index, now)
				}
				if draw.IntN(4) == 0 {
					budgets[index].RecordRequest(now)
					requests++
				}
				retries += useAll(budgets[index], now, dataPlanes)
			}
			history.add(t, requests, retries, strconv.Itoa(dataPlanes)+" nodes")
		}
	}
}

func TestRetryBudgets_BackendsAreIndependent(t *testing.T) {
	budgets := NewRetryBudgets(RetryBudgetOptions{Period: 10 * time.Second, Ratio: 0.2, Slack: 50})
	for range 1000 {
		budgets.ForBackend("busy").RecordRequest(budgetStart)
	}
	retries := useAll(budgets.ForBackend("failing"), budgetStart, 1)
	assert.Assert(t, retries > 0 && retries <= 50, "%d retries at a backend without requests", retries)
	assert.Assert(t, budgets.ForBackend("busy").Allow(budgetStart, 1), "each has its own slack")
}
