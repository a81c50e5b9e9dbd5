package controlplane

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

type receivedSummary struct {
	receivedAt time.Time
	summary    peer.LoadSummary
}

func expectedDemand(received map[string]receivedSummary, now time.Time) map[string]placement.Demand {
	demands := map[string]placement.Demand{}
	for _, entry := range received {
		if now.Sub(entry.receivedAt) > demandTTL {
			continue
		}
		for _, model := range entry.summary.Models {
			key := placement.ModelKey(model.Backend, model.Model)
			demand := demands[key]
			demand.Waiting += model.Waiting
			demand.Running += float64(model.Running)
			if model.Waiting > 0 {
				demand.OldestWaitMs = max(demand.OldestWaitMs, model.OldestWaitMs)
			}
			demands[key] = demand
		}
	}
	return demands
}

func expectedSuspected(received map[string]receivedSummary, id string, now time.Time) bool {
	suspected, counted := 0, 0
	for _, entry := range received {
		if now.Sub(entry.receivedAt) > suspicionTTL {
			continue
		}
		counted += entry.summary.DataPlaneCount
		suspected += entry.summary.SuspectCounts[id]
	}
	return suspected >= minSuspecting || suspected > 0 && suspected == counted
}

func randomReport(random *rand.Rand) peer.LoadSummary {
	report := peer.LoadSummary{Member: fmt.Sprint("member", random.IntN(5)), DataPlaneCount: 1 + random.IntN(3), SuspectCounts: map[string]int{}}
	for index := range 6 {
		if random.IntN(2) == 0 {
			report.Models = append(report.Models, peer.ModelLoad{
				Backend: "s", Model: fmt.Sprint("m", index), Waiting: random.IntN(3), Running: random.IntN(3), OldestWaitMs: float64(random.IntN(900)),
			})
		}
		if random.IntN(4) == 0 {
			report.SuspectCounts[fmt.Sprint("r", index)] = 1 + random.IntN(report.DataPlaneCount)
		}
	}
	return report
}

func TestDemandAggregator_SumsUnexpiredReports(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 5))
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		tally, heard, demands := NewDemandAggregator(), map[string]receivedSummary{}, map[string]*placement.Demand{}
		for range 200 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			if random.IntN(3) > 0 {
				report := randomReport(random)
				names := make([]string, len(report.Models))
				for index, model := range report.Models {
					names[index] = placement.ModelKey(model.Backend, model.Model)
				}
				heard[report.Member] = receivedSummary{now, report}
				tally.Add(report, names, now)
			}
			tally.Expire(now)
			tally.WriteTo(demands, now)
			plain := expectedDemand(heard, now)
			for name, demand := range demands {
				got := placement.Demand{Waiting: demand.Waiting, Running: demand.Running, OldestWaitMs: demand.OldestWaitMs}
				assert.Equal(t, got, plain[name], "seed %d: %s", seed, name)
				assert.Equal(t, tally.waiting[name], demand.Waiting > 0, "seed %d: %s", seed, name)
			}
			for index := range 6 {
				id := fmt.Sprint("r", index)
				assert.Equal(t, tally.IsSuspected(id), expectedSuspected(heard, id, now), "seed %d: %s", seed, id)
			}
			assert.Assert(t, len(tally.reports) <= 5 && len(tally.demand) <= 6, "seed %d", seed)
		}
	}
}
