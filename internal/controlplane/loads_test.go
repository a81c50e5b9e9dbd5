package controlplane

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
)

func TestScheduler_LoadsFromStoreStayWithinRate(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 29))
		rate, span, overage := 0.5+float64(random.IntN(20)), 5.0, 1+float64(random.IntN(3))/10
		table := configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
			Name:    "s",
			Runtime: &configuration.Runtime{LoadsPerS: rate},
		}}}, nil)
		scheduler := &Scheduler{node: &Node{settings: nodesettings.Settings{TimingBounds: nodesettings.TimingBounds{
			OriginPeriodS: span,
			OriginOverage: overage,
		}}}}
		scheduler.loadBudget.pending = make(chan pendingReservation, 1)
		scheduler.currentGrant.Store(&lease.Grant{Record: lease.Record{Fence: 1, Reserved: new(loadbudget.Reservation)}})
		now := testStart
		var began []time.Time
		for range 1200 {
			now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
			for tokens := scheduler.loadTokens(now, table); tokens >= 1; tokens-- {
				scheduler.recordOrderedLoad(placement.Action{Server: "r", Model: "m", Load: true, FromStore: true}, now)
				scheduler.recordStartedLoads("r", now)
				began = append(began, now.Add(time.Duration(random.IntN(int(maxLoadStartDelay)))))
			}
			select {
			case written := <-scheduler.loadBudget.pending:
				scheduler.loadBudget.budget.CompleteWrite(written.grant.Record.Fence, written.reservation, true, now)
			default:
			}
		}
		most := 0
		for _, from := range began {
			within := 0
			for _, at := range began {
				if !at.Before(from) && at.Sub(from) < time.Duration(span*float64(time.Second)) {
					within++
				}
			}
			most = max(most, within)
		}
		assert.Assert(t, float64(most) <= rate*span*overage+3, "seed %d: %d loads of %f a second", seed, most, rate)
		assert.Assert(t, float64(len(began)) >= 0.7*rate*now.Sub(testStart).Seconds(), "seed %d: only %d", seed, len(began))
	}
}
