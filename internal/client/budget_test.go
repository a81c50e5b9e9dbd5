package client

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/membersim"
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

func crowd(edges int) []*Budget {
	budgets := make([]*Budget, edges)
	for edge := range budgets {
		budgets[edge] = NewBudget(10*time.Second, 0.2, 56)
		budgets[edge].Daemon = "edge-" + strconv.Itoa(edge)
	}
	return budgets
}

func TestGivenEveryDaemonRepeatingWheneverItMayThenNoPeriodIsOverTheBudget(t *testing.T) {
	draw := rand.New(rand.NewPCG(11, 12))
	for _, edges := range []int{1, 8, 81, 400} {
		for _, perSecond := range []float64{0, 0.05, 0.3, 2} {
			budgets, counted := crowd(edges), max(edges*10/11, 1)
			orders, repeats, now := []int{}, []int{}, time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			for step := range 400 {
				now = now.Add(500 * time.Millisecond)
				arrived, taken := 0, 0
				for _, budget := range budgets {
					if draw.Float64() < perSecond/2 {
						budget.Arrived(now)
						arrived++
					}
					for budget.Take(now, counted) {
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

func TestGivenDaemonsWithFewOrdersThenEachMayRepeatNowAndThen(t *testing.T) {
	for _, budget := range crowd(400)[:40] {
		now, taken := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), 0
		for range 1200 {
			now = now.Add(10 * time.Second)
			budget.Arrived(now)
			if budget.Take(now, 400) {
				taken++
			}
		}
		assert.Assert(t, taken > 20 && taken < 600, "%d of 1200", taken)
	}
}

func TestGivenManyOrdersThenTheBudgetHoldsNoMore(t *testing.T) {
	budget, now := NewBudget(10*time.Second, 0.2, 56), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	allocated := testing.AllocsPerRun(5000, func() {
		now = now.Add(time.Millisecond)
		budget.Arrived(now)
	})
	assert.Equal(t, allocated, 0.0)
}

func BenchmarkBudgetTake(b *testing.B) {
	budget, now := crowd(1)[0], time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.Arrived(now)
		budget.Take(now, 400)
	}
}

func TestGivenAStepOfTheTimeOfDayThenThePeriodIsNotBegunAnew(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, step := range []time.Duration{-time.Hour, -11 * time.Second, 11 * time.Second, time.Hour} {
		budget := NewBudget(10*time.Second, 0.2, 50)
		for budget.Take(membersim.OffsetWallClock(now, 0), 2) {
		}
		for passed := range 9 {
			assert.Assert(t, !budget.Take(membersim.OffsetWallClock(now.Add(time.Duration(passed)*time.Second), step), 2), "step %s, after %d s", step, passed)
		}
		assert.Assert(t, budget.Take(membersim.OffsetWallClock(now.Add(11*time.Second), step), 2), "step %s", step)
	}
}

func TestGivenDaemonsThatRestartThenTheirLivesTogetherStayWithinTheBudget(t *testing.T) {
	draw := rand.New(rand.NewPCG(13, 14))
	for _, edges := range []int{1, 3, 8, 81} {
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		budgets, orders, repeats := crowd(edges), []int{}, []int{}
		for step := range 400 {
			now = now.Add(500 * time.Millisecond)
			arrived, taken := 0, 0
			for edge := range budgets {
				if draw.IntN(20) == 0 || step%100 == 50 {
					budgets[edge] = crowd(edge + 1)[edge]
					budgets[edge].Since = now
				}
				if draw.IntN(4) == 0 {
					budgets[edge].Arrived(now)
					arrived++
				}
				for budgets[edge].Take(now, edges) {
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

func TestGivenServicesThenTheRequestsOfOneAllowNoTriesAtAnother(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	budgets := Budgets{Period: 10 * time.Second, Ratio: 0.2, Slack: 50}
	for range 1000 {
		budgets.Of("busy").Arrived(now)
	}
	tries := 0
	for budgets.Of("failing").Take(now, 1) {
		tries++
	}
	assert.Assert(t, tries > 0 && tries <= 50, "%d tries at a service without requests", tries)
	assert.Assert(t, budgets.Of("busy").Take(now, 1), "each has its own slack")
}
