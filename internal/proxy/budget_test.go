package proxy

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/keystoresim"
)

func TestRetryBudget_SharesStayWithinTotal(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	edges, orders, total := 8, 40, 0
	for range edges {
		budget := NewRetryBudget(10*time.Second, 0.2, 50)
		for range orders {
			budget.RecordRequest(now)
		}
		for budget.Allow(now, edges) {
			total++
		}
		assert.Assert(t, !budget.Allow(now.Add(9*time.Second), edges))
	}
	assert.Assert(t, total > 0 && float64(total) <= 0.2*float64(edges*orders)+50)
}

func TestRetryBudget_RefillsAfterPeriod(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	budget := NewRetryBudget(10*time.Second, 0.2, 10)
	for budget.Allow(now, 2) {
	}
	assert.Assert(t, budget.Allow(now.Add(11*time.Second), 2))
}

func newBudgets(edges int) []*RetryBudget {
	budgets := make([]*RetryBudget, edges)
	for edge := range budgets {
		budgets[edge] = NewRetryBudget(10*time.Second, 0.2, 56)
		budgets[edge].Node = "edge-" + strconv.Itoa(edge)
	}
	return budgets
}

func TestRetryBudget_NoPeriodExceedsTotal(t *testing.T) {
	draw := rand.New(rand.NewPCG(11, 12))
	for _, edges := range []int{1, 8, 81, 400} {
		for _, perSecond := range []float64{0, 0.05, 0.3, 2} {
			budgets, counted := newBudgets(edges), max(edges*10/11, 1)
			orders, repeats, now := []int{}, []int{}, time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			for step := range 400 {
				now = now.Add(500 * time.Millisecond)
				arrived, taken := 0, 0
				for _, budget := range budgets {
					if draw.Float64() < perSecond/2 {
						budget.RecordRequest(now)
						arrived++
					}
					for budget.Allow(now, counted) {
						taken++
					}
				}
				orders, repeats = append(orders, arrived), append(repeats, taken)
				asked, again := 0, 0
				for back := max(step-19, 0); back <= step; back++ {
					asked, again = asked+orders[back], again+repeats[back]
				}
				assert.Assert(t, float64(again) <= 0.2*float64(asked)+56, "%d daemons, %v a second: %d repeats of %d", edges, perSecond, again, asked)
			}
		}
	}
}

func TestRetryBudget_FewRequestsStillAllowRetries(t *testing.T) {
	for _, budget := range newBudgets(400)[:40] {
		now, taken := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), 0
		for range 1200 {
			now = now.Add(10 * time.Second)
			budget.RecordRequest(now)
			if budget.Allow(now, 400) {
				taken++
			}
		}
		assert.Assert(t, taken > 20 && taken < 600, "%d of 1200", taken)
	}
}

func TestRetryBudget_AllocatesNothing(t *testing.T) {
	budget, now := NewRetryBudget(10*time.Second, 0.2, 56), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	allocated := testing.AllocsPerRun(5000, func() {
		now = now.Add(time.Millisecond)
		budget.RecordRequest(now)
	})
	assert.Equal(t, allocated, 0.0)
}

func BenchmarkRetryBudget_Allow(b *testing.B) {
	budget, now := newBudgets(1)[0], time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.RecordRequest(now)
		budget.Allow(now, 400)
	}
}

func TestRetryBudget_IgnoresWallClockSteps(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, step := range []time.Duration{-time.Hour, -11 * time.Second, 11 * time.Second, time.Hour} {
		budget := NewRetryBudget(10*time.Second, 0.2, 50)
		for budget.Allow(keystoresim.OffsetWallClock(now, 0), 2) {
		}
		for passed := range 9 {
			assert.Assert(t, !budget.Allow(keystoresim.OffsetWallClock(now.Add(time.Duration(passed)*time.Second), step), 2), "step %s, after %d s", step, passed)
		}
		assert.Assert(t, budget.Allow(keystoresim.OffsetWallClock(now.Add(11*time.Second), step), 2), "step %s", step)
	}
}

func TestRetryBudget_RestartsStayWithinTotal(t *testing.T) {
	draw := rand.New(rand.NewPCG(13, 14))
	for _, edges := range []int{1, 3, 8, 81} {
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		budgets, orders, repeats := newBudgets(edges), []int{}, []int{}
		for step := range 400 {
			now = now.Add(500 * time.Millisecond)
			arrived, taken := 0, 0
			for edge := range budgets {
				if draw.IntN(20) == 0 || step%100 == 50 {
					budgets[edge] = newBudgets(edge + 1)[edge]
					budgets[edge].StartedAt = now
				}
				if draw.IntN(4) == 0 {
					budgets[edge].RecordRequest(now)
					arrived++
				}
				for budgets[edge].Allow(now, edges) {
					taken++
				}
			}
			orders, repeats = append(orders, arrived), append(repeats, taken)
			asked, again := 0, 0
			for back := max(step-19, 0); back <= step; back++ {
				asked, again = asked+orders[back], again+repeats[back]
			}
			assert.Assert(t, float64(again) <= 0.2*float64(asked)+56, "%d daemons: %d repeats of %d", edges, again, asked)
		}
	}
}

func TestRetryBudgets_BackendsAreIndependent(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	budgets := RetryBudgets{Period: 10 * time.Second, Ratio: 0.2, Slack: 50}
	for range 1000 {
		budgets.ForBackend("busy").RecordRequest(now)
	}
	tries := 0
	for budgets.ForBackend("failing").Allow(now, 1) {
		tries++
	}
	assert.Assert(t, tries > 0 && tries <= 50, "%d tries at a service without requests", tries)
	assert.Assert(t, budgets.ForBackend("busy").Allow(now, 1), "each has its own slack")
}
