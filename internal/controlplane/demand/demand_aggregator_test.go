package demand

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// receivedSummary is the last summary of a member in the reference model.
type receivedSummary struct {
	receivedAt time.Time
	summary    peer.LoadSummary
}

// expectedDemand sums the unexpired demand from scratch.
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
				if model.LoadDueMs > 0 && (demand.LoadDueMs == 0 || model.LoadDueMs < demand.LoadDueMs) {
					demand.LoadDueMs = model.LoadDueMs
				}
			}
			demands[key] = demand
		}
	}
	return demands
}

// expectedSuspected computes from scratch whether a replica is suspected.
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
	report := peer.LoadSummary{
		Member:         fmt.Sprint("member", random.IntN(5)),
		DataPlaneCount: 1 + random.IntN(3),
		SuspectCounts:  map[string]int{},
	}
	for index := range 6 {
		if random.IntN(2) == 0 {
			report.Models = append(report.Models, peer.ModelLoad{
				Backend:      "s",
				Model:        fmt.Sprint("m", index),
				Waiting:      random.IntN(3),
				Running:      random.IntN(3),
				OldestWaitMs: float64(random.IntN(900)),
				LoadDueMs:    float64(random.IntN(4) * 1000),
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
		now := testStart
		aggregator := NewDemandAggregator()
		received := map[string]receivedSummary{}
		demands := map[string]*placement.Demand{}
		for range 200 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			if random.IntN(3) > 0 {
				report := randomReport(random)
				keys := make([]string, len(report.Models))
				for index, model := range report.Models {
					keys[index] = placement.ModelKey(model.Backend, model.Model)
				}
				received[report.Member] = receivedSummary{receivedAt: now, summary: report}
				aggregator.Add(report, keys, now)
			}
			aggregator.Expire(now)
			aggregator.UpdateDemands(demands, now)
			expected := expectedDemand(received, now)
			for key, demand := range demands {
				actual := placement.Demand{
					Waiting: demand.Waiting, Running: demand.Running, OldestWaitMs: demand.OldestWaitMs, LoadDueMs: demand.LoadDueMs,
				}
				assert.Equal(t, actual, expected[key], "seed %d: %s", seed, key)
				assert.Equal(t, aggregator.waiting[key], demand.Waiting > 0, "seed %d: %s", seed, key)
			}
			for index := range 6 {
				id := fmt.Sprint("r", index)
				assert.Equal(t, aggregator.IsSuspected(id), expectedSuspected(received, id, now), "seed %d: %s", seed, id)
			}
			assert.Assert(t, len(aggregator.reports) <= 5 && len(aggregator.demand) <= 6, "seed %d", seed)
		}
	}
}

func TestDemandAggregator_PartialSummaryKeepsOtherModels(t *testing.T) {
	aggregator := NewDemandAggregator()
	keys := []string{"s hot", "s rare"}
	aggregator.Add(peer.LoadSummary{
		Member:         "m",
		DataPlaneCount: 2,
		SuspectCounts:  map[string]int{"i-1": 2},
		Models:         []peer.ModelLoad{{Running: 4}, {Waiting: 1}},
	}, keys, testStart)
	aggregator.Add(peer.LoadSummary{
		Member:         "m",
		DataPlaneCount: 2,
		Partial:        true,
		Models:         []peer.ModelLoad{{Waiting: 3}},
	}, []string{"s rare"}, testStart)
	assert.Equal(t, aggregator.demand["s hot"].running, 4)
	assert.Equal(t, aggregator.demand["s rare"].waiting, 3)
	assert.Assert(t, aggregator.IsSuspected("i-1"))
	aggregator.Add(peer.LoadSummary{Member: "m", DataPlaneCount: 2}, nil, testStart)
	assert.Equal(t, aggregator.demand["s hot"].running, 0)
	assert.Assert(t, !aggregator.IsSuspected("i-1"))
}
