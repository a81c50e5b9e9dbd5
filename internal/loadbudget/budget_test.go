package loadbudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/loadbudget"
)

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const writeTime = 20 * time.Millisecond

// countWrites starts loads at an interval, as far as the budget allows, and returns how many reservations were written and how
// many loads were started. With an interval of 0 it starts none. Each write takes writeTime.
func countWrites(
	budget *loadbudget.Budget, bounds loadbudget.Bounds, from time.Time, span, interval time.Duration,
) (writes, loads int) {
	nextLoad := from
	for now := from; now.Before(from.Add(span)); now = now.Add(writeTime) {
		for interval > 0 && !nextLoad.After(now) && budget.Available(now, bounds) >= 1 {
			budget.RecordOrdered("r")
			budget.RecordStarted("r", now)
			nextLoad = nextLoad.Add(interval)
			loads++
		}
		if reservation, due := budget.Propose(now, bounds); due {
			budget.CompleteWrite(budget.Fence(), reservation, true, now)
			writes++
		}
	}
	return writes, loads
}

func TestBudget_WritesFewReservations(t *testing.T) {
	now := startTime
	for rate, loadsPerWrite := range map[float64]int{0.5: 1, 1: 1, 4: 3, 16: 13} {
		var budget loadbudget.Budget
		bounds := boundsOf(rate)
		budget.TakeOver(loadbudget.Takeover{Fence: 1, PredecessorStoppedAt: now, Reserved: new(loadbudget.Reservation)}, bounds)
		first, _ := countWrites(&budget, bounds, now, time.Minute, 0)
		assert.Equal(t, first, 1, "one write reserves the headroom")
		idle, _ := countWrites(&budget, bounds, now.Add(time.Minute), time.Hour, 0)
		assert.Equal(t, idle, 0)
		interval := time.Duration(float64(time.Second) / rate)
		writes, loads := countWrites(&budget, bounds, now.Add(2*time.Hour), 10*time.Minute, interval)
		assert.Assert(t, writes <= 4+loads/loadsPerWrite, "rate %f: %d writes for %d loads", rate, writes, loads)
		assert.Assert(t, float64(loads) >= 0.7*rate*600, "rate %f: only %d loads", rate, loads)
		after, _ := countWrites(&budget, bounds, now.Add(3*time.Hour), time.Hour, 0)
		assert.Assert(t, after <= 2, "%d writes to lower the reservation after the last load", after)
	}
}

func TestBudget_TakeoverFromIdleHolderAllowsMostLoads(t *testing.T) {
	now := startTime
	bounds := boundsOf(4)
	var before, after loadbudget.Budget
	before.TakeOver(loadbudget.Takeover{Fence: 1, PredecessorStoppedAt: now, Reserved: new(loadbudget.Reservation)}, bounds)
	reserved, _ := before.Propose(now, bounds)
	after.TakeOver(loadbudget.Takeover{Fence: 2, PredecessorStoppedAt: now, Reserved: &reserved}, bounds)
	_, loads := countWrites(&after, bounds, now, time.Second, time.Millisecond)
	assert.Assert(t, 3*loads >= 2*bounds.Loads, "%d of %d", loads, bounds.Loads)
}

func TestBudget_UnknownReservationBlocksForOneWindow(t *testing.T) {
	now := startTime
	bounds := boundsOf(1)
	var budget loadbudget.Budget
	budget.TakeOver(loadbudget.Takeover{Fence: 7, PredecessorStoppedAt: now}, bounds)
	blocked := bounds.UncertainDelay + bounds.Window
	_, loads := countWrites(&budget, bounds, now, blocked, time.Millisecond)
	assert.Equal(t, loads, 0)
	_, loads = countWrites(&budget, bounds, now.Add(blocked), time.Second, time.Millisecond)
	assert.Equal(t, loads, bounds.Loads)
}
