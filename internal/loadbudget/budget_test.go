package loadbudget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// unansweredDelay is how long after its call an unanswered load may start in the tests below, and callTime how long that call takes.
const (
	unansweredDelay = 15 * time.Second
	callTime        = time.Second
)

// lateLoads plays lease holders that order loads, half of which are left unanswered and start late. A holder is replaced only while no
// call is in flight. It returns when the loads started.
func lateLoads(random *rand.Rand, bounds loadbudget.Bounds) (startTimes []time.Time) {
	budget, written, fence := new(loadbudget.Budget), loadbudget.Reservation{}, uint64(1)
	budget.TakeOver(loadbudget.Takeover{Fence: fence, PredecessorStoppedAt: startTime, Reserved: &written}, bounds)
	callsEnd := map[string]time.Time{}
	for now := startTime; now.Before(startTime.Add(2 * time.Minute)); now = now.Add(tick) {
		for name, end := range callsEnd {
			if !now.Before(end) {
				budget.RecordUnanswered(name, 0, now.Add(unansweredDelay))
				delete(callsEnd, name)
			}
		}
		if reservation, due := budget.Propose(now, bounds); due {
			written = reservation
			budget.CompleteWrite(fence, written, true, now)
		}
		for budget.Available(now, bounds) >= 1 {
			name := fmt.Sprint("replica-", len(startTimes))
			budget.RecordOrdered(name)
			if random.IntN(2) == 0 {
				budget.RecordStarted(name, now)
				startTimes = append(startTimes, now)
				continue
			}
			callsEnd[name] = now.Add(callTime)
			startTimes = append(startTimes, now.Add(callTime+time.Duration(random.Int64N(int64(unansweredDelay)))))
		}
		if len(callsEnd) == 0 && random.IntN(200) == 0 {
			if reservation, due := budget.Propose(now, bounds); due {
				written = reservation
			}
			fence++
			budget = new(loadbudget.Budget)
			budget.TakeOver(loadbudget.Takeover{Fence: fence, PredecessorStoppedAt: now, Reserved: &written}, bounds)
		}
	}
	return startTimes
}

func TestBudget_UnansweredLoadsCountUntilTheyStart(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 37))
		rate := 0.5 + float64(random.IntN(6))
		startTimes := lateLoads(random, boundsOf(rate))
		slices.SortFunc(startTimes, time.Time.Compare)
		most := 0
		for first, from := range startTimes {
			within := slices.IndexFunc(startTimes[first:], func(at time.Time) bool { return at.Sub(from) >= period })
			if within < 0 {
				within = len(startTimes) - first
			}
			most = max(most, within)
		}
		assert.Assert(t, float64(most) <= rate*period.Seconds()*overage+3, "seed %d: %d loads at a rate of %f", seed, most, rate)
		assert.Assert(t, len(startTimes) > 20, "seed %d: only %d loads", seed, len(startTimes))
	}
}

func TestBudget_RejectedSequenceEndsUnansweredLoad(t *testing.T) {
	var budget loadbudget.Budget
	bounds := boundsOf(1)
	budget.TakeOver(loadbudget.Takeover{Fence: 1, PredecessorStoppedAt: startTime, Reserved: new(loadbudget.Reservation)}, bounds)
	budget.RecordOrdered("replica-1")
	assert.DeepEqual(t, budget.InFlight(), []string{"replica-1"})
	budget.RecordUnanswered("replica-1", 7, startTime.Add(unansweredDelay))
	assert.Equal(t, len(budget.InFlight()), 0)
	assert.DeepEqual(t, budget.Unanswered(), map[string]int64{"replica-1": 7})
	assert.Equal(t, budget.Count(startTime.Add(unansweredDelay-time.Second), bounds), 1)
	budget.RecordStarted("replica-1", startTime)
	assert.Equal(t, budget.Count(startTime.Add(bounds.Window), bounds), 0)
}

// Guards against unanswered loads that no record names: the write that was to name them was in flight when this process got its next
// grant.
func TestBudget_ContinuingGrantWritesUnansweredLoadsAgain(t *testing.T) {
	var budget loadbudget.Budget
	var written loadbudget.Reservation
	bounds := boundsOf(1)
	budget.TakeOver(loadbudget.Takeover{Fence: 1, PredecessorStoppedAt: startTime, Reserved: &written}, bounds)
	for number := range bounds.Loads {
		if reservation, due := budget.Propose(startTime, bounds); due {
			written = reservation
			budget.CompleteWrite(1, written, true, startTime)
		}
		assert.Assert(t, budget.Available(startTime, bounds) >= 1)
		budget.RecordOrdered(fmt.Sprint("replica-", number))
	}
	for number := range bounds.Loads {
		budget.RecordUnanswered(fmt.Sprint("replica-", number), 0, startTime.Add(unansweredDelay))
	}
	_, due := budget.Propose(startTime, bounds)
	assert.Assert(t, due)
	next := loadbudget.Takeover{Fence: 2, ContinuesFence: 1, PredecessorStoppedAt: startTime, Reserved: &written}
	budget.TakeOver(next, bounds)
	_, due = budget.Propose(startTime, bounds)
	assert.Assert(t, due, "the record does not name the unanswered loads")
}
