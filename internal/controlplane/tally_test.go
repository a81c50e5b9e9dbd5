package controlplane

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
	"ferryspar/internal/place"
)

type told struct {
	at    time.Time
	share peer.LoadSum
}

func plainDemand(told map[string]told, now time.Time) map[string]place.Demand {
	demands := map[string]place.Demand{}
	for _, one := range told {
		if now.Sub(one.at) > demandLife {
			continue
		}
		for _, model := range one.share.Models {
			name := place.ModelKey(model.Backend, model.Model)
			demand := demands[name]
			demand.Waiting += model.Waiting
			demand.Running += float64(model.Running)
			if model.Waiting > 0 {
				demand.OldestWaitMs = max(demand.OldestWaitMs, model.OldestMs)
			}
			demands[name] = demand
		}
	}
	return demands
}

func plainSuspects(told map[string]told, id string, now time.Time) bool {
	suspected, counted := 0, 0
	for _, one := range told {
		if now.Sub(one.at) > suspectsLife {
			continue
		}
		counted += one.share.Daemons
		suspected += one.share.Suspects[id]
	}
	return suspected >= suspectsNeeded || suspected > 0 && suspected == counted
}

func randomReport(random *rand.Rand) peer.LoadSum {
	report := peer.LoadSum{Member: fmt.Sprint("member", random.IntN(5)), Daemons: 1 + random.IntN(3), Suspects: map[string]int{}}
	for index := range 6 {
		if random.IntN(2) == 0 {
			report.Models = append(report.Models, peer.ModelLoad{
				Backend: "s", Model: fmt.Sprint("m", index), Waiting: random.IntN(3), Running: random.IntN(3), OldestMs: float64(random.IntN(900)),
			})
		}
		if random.IntN(4) == 0 {
			report.Suspects[fmt.Sprint("r", index)] = 1 + random.IntN(report.Daemons)
		}
	}
	return report
}

func TestGivenReportsInAnyOrderThenTheTallyIsTheSumOfThoseStillFresh(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 5))
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		tally, heard, demands := NewTally(), map[string]told{}, map[string]*place.Demand{}
		for range 200 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			if random.IntN(3) > 0 {
				report := randomReport(random)
				names := make([]string, len(report.Models))
				for index, model := range report.Models {
					names[index] = place.ModelKey(model.Backend, model.Model)
				}
				heard[report.Member] = told{now, report}
				tally.Hear(report, names, now)
			}
			tally.Expire(now)
			tally.WriteTo(demands, now)
			plain := plainDemand(heard, now)
			for name, demand := range demands {
				got := place.Demand{Waiting: demand.Waiting, Running: demand.Running, OldestWaitMs: demand.OldestWaitMs}
				assert.Equal(t, got, plain[name], "seed %d: %s", seed, name)
				assert.Equal(t, tally.waiting[name], demand.Waiting > 0, "seed %d: %s", seed, name)
			}
			for index := range 6 {
				id := fmt.Sprint("r", index)
				assert.Equal(t, tally.Suspected(id), plainSuspects(heard, id, now), "seed %d: %s", seed, id)
			}
			assert.Assert(t, len(tally.reports) <= 5 && len(tally.sums) <= 6, "seed %d", seed)
		}
	}
}
