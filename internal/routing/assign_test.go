package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// randomSnapshot returns a snapshot with random zones, drains, replicas that are warming up and outdated peer loads.
func randomSnapshot(random *rand.Rand, fixture *testFleet) *Snapshot {
	replicas, models := 2+random.IntN(30), 1+random.IntN(12)
	fixture.models = models
	fleet := newTestSnapshot(replicas, models, 1+random.IntN(20), func(int) int { return random.IntN(fixtureSlots + 2) }, fixture.now)
	fleet.DrainedZones["south"] = random.IntN(3) == 0
	for _, replica := range fleet.Replicas {
		replica.Draining = random.IntN(9) == 0
		replica.Zone = []string{"north", "south", "west"}[random.IntN(3)]
		replica.Region = []string{"inland", "coast"}[random.IntN(2)]
		if random.IntN(6) == 0 {
			replica.WarmUpUntil = fixture.now.Add(time.Second)
		}
		for range random.IntN(3) {
			replica.Models["model-"+strconv.Itoa(random.IntN(models))] = true
		}
	}
	if random.IntN(4) == 0 {
		fleet.PeerLoadsAt = fixture.now.Add(-time.Minute)
	}
	return fleet
}

// randomizeStates sets random loads, predictors and rejections for all replicas.
func randomizeStates(random *rand.Rand, fixture *testFleet) {
	for _, replica := range fixture.snapshot.Load().Replicas {
		state := fixture.matcher.replicas.state(replica.ID)
		state.running, state.pendingTokens = random.IntN(4), float64(random.IntN(3000))
		state.predictor.Observe(Features{1, random.Float64(), random.Float64()}, 20+300*random.Float64())
		if random.IntN(8) == 0 {
			state.missingUntil["model-0"] = fixture.now.Add(time.Second)
		}
		if random.IntN(9) == 0 {
			state.fullUntil = fixture.now.Add(time.Second)
		}
	}
}

// randomBatch returns a batch of requests with random sizes and restrictions, in the order of the queue.
func randomBatch(random *rand.Rand, fixture *testFleet) []*Request {
	var requests []*Request
	for range 1 + random.IntN(16) {
		request := fixture.request()
		request.Decided = make(chan Decision, 1)
		request.PromptTokens = float64(random.IntN([]int{3000, 9000, 150000}[random.IntN(3)]))
		request.ExcludedReplicas["i-"+strconv.Itoa(random.IntN(5))] = true
		if random.IntN(5) == 0 {
			request.AllowedRegions = []string{"inland"}
		}
		if random.IntN(9) == 0 {
			request.Model = ""
		}
		requests = append(requests, request)
	}
	slices.SortStableFunc(requests, compareRank)
	return requests
}

func TestMatcher_AssignEqualsDenseReference(t *testing.T) {
	random, placed := rand.New(rand.NewPCG(7, 8)), 0
	for round := range 400 {
		fixture := newTestFleet(3, 3, 3, func(int) int { return 0 })
		for range 6 {
			fixture.now = fixture.now.Add(time.Duration(random.IntN(800)) * time.Millisecond)
			fixture.snapshot.Store(randomSnapshot(random, fixture))
			fixture.matcher.useLatestSnapshot()
			randomizeStates(random, fixture)
			requests := randomBatch(random, fixture)
			expected := denseChoice(fixture.matcher, requests, fixture.now)
			fixture.matcher.assign(requests, fixture.now)
			for row, request := range requests {
				assert.Equal(t, request.modelNotLoaded, expected.modelNotLoaded[row], "round %d", round)
				position := -1
				if request.decided {
					position = (<-request.Decided).Replica.Index
					placed++
				}
				assert.Equal(t, position, expected.chosen[row], "round %d", round)
			}
		}
	}
	assert.Assert(t, placed > 5000, "only %d requests were placed", placed)
}

// sparseRows converts a matrix of costs to the rows of flowSolver.
func sparseRows(cost [][]float64) [][]arc {
	rows := make([][]arc, len(cost))
	for row := range cost {
		for column, price := range cost[row] {
			if price != forbidden {
				rows[row] = append(rows[row], arc{column, price})
			}
		}
	}
	return rows
}

func TestFlowSolver_EqualsDenseReference(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var solver flowSolver
	for round := range 2000 {
		requests, replicas := 1+random.IntN(16), 1+random.IntN(25)
		cost, capacity := make([][]float64, requests), make([]int, replicas)
		for row := range cost {
			cost[row] = make([]float64, replicas)
			for column := range cost[row] {
				cost[row][column] = float64(2-random.IntN(6)) * []float64{1, random.Float64()}[random.IntN(2)]
				if random.IntN(3) == 0 {
					cost[row][column] = forbidden
				}
			}
		}
		for column := range capacity {
			capacity[column] = random.IntN(4)
		}
		rows := sparseRows(cost)
		chosen, total, best := solver.assign(rows, capacity), 0.0, 0.0
		load := make([]int, replicas)
		for row, column := range denseAssign(cost, capacity) {
			if column >= 0 {
				best += cost[row][column]
			}
			assert.Equal(t, chosen[row] >= 0, column >= 0, "round %d: request %d", round, row)
			if at := chosen[row]; at >= 0 {
				total += rows[row][at].cost
				load[rows[row][at].node]++
				assert.Assert(t, load[rows[row][at].node] <= capacity[rows[row][at].node], "round %d: over capacity", round)
			}
		}
		assert.Assert(t, math.Abs(total-best) < 1e-9, "round %d: sparse %f, dense %f", round, total, best)
	}
}
