package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/placement"
)

// noPendingOrders implements pendingOrders: no order may be accepted late.
type noPendingOrders struct{}

func (noPendingOrders) mayStart(string) bool { return false }

func (noPendingOrders) rejectsOrdersOf(string, int64) bool { return true }

func TestLoadBudget_LoadsFromStoreStayWithinRate(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 29))
		rate, span, overage := 0.5+float64(random.IntN(20)), 5.0, 1+float64(random.IntN(3))/10
		table := newTestTable(configuration.Runtime{LoadsPerS: rate})
		now := testStart
		scheduler, _ := newTestScheduler(&now)
		budget := scheduler.budget
		budget.limit.Overage = overage
		scheduler.lease.current.Store(&lease.Grant{Record: lease.Record{Fence: 1, Reserved: new(loadbudget.Reservation)}})
		var startedAt []time.Time
		for range 1200 {
			now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
			for tokens := budget.available(now, table, noPendingOrders{}); tokens >= 1; tokens-- {
				budget.recordOrdered(placement.Action{Server: "r", Model: "m", Load: true, FromStore: true}, now)
				budget.recordStarted("r", now)
				startedAt = append(startedAt, now.Add(time.Duration(random.IntN(int(maxLoadStartDelay)))))
			}
			select {
			case written := <-budget.pending:
				budget.budget.CompleteWrite(written.grant.Record.Fence, written.reservation, true, now)
			default:
			}
		}
		most := maxWithinWindow(startedAt, time.Duration(span*float64(time.Second)))
		assert.Assert(t, float64(most) <= rate*span*overage+3, "seed %d: %d loads of %f a second", seed, most, rate)
		assert.Assert(t, float64(len(startedAt)) >= 0.7*rate*now.Sub(testStart).Seconds(), "seed %d: only %d", seed, len(startedAt))
	}
}

// maxWithinWindow returns the largest number of moments within any window of the given length that starts at one of them.
func maxWithinWindow(moments []time.Time, length time.Duration) int {
	most := 0
	for _, from := range moments {
		within := 0
		for _, at := range moments {
			if !at.Before(from) && at.Sub(from) < length {
				within++
			}
		}
		most = max(most, within)
	}
	return most
}
