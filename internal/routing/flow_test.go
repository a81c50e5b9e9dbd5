package routing

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// exhaustiveMinCost returns the least cost of assigning the requests from the given one on, by exhaustive search.
func exhaustiveMinCost(cost [][]float64, capacity []int, request int) float64 {
	if request == len(cost) {
		return 0
	}
	best := exhaustiveMinCost(cost, capacity, request+1)
	for replica := range capacity {
		if capacity[replica] == 0 || cost[request][replica] == forbidden {
			continue
		}
		capacity[replica]--
		best = min(best, cost[request][replica]+exhaustiveMinCost(cost, capacity, request+1))
		capacity[replica]++
	}
	return best
}

func TestFlowSolver_EqualsExhaustiveSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 3000 {
		requests, replicas := 1+random.IntN(5), 1+random.IntN(4)
		cost := make([][]float64, requests)
		for row := range cost {
			cost[row] = make([]float64, replicas)
			for column := range cost[row] {
				cost[row][column] = -random.Float64()
				if random.IntN(4) == 0 {
					cost[row][column] = forbidden
				}
			}
		}
		capacity := make([]int, replicas)
		for column := range capacity {
			capacity[column] = random.IntN(3)
		}
		rows := sparseRows(cost)
		var solver flowSolver
		chosen := solver.assign(rows, capacity)
		total, load := 0.0, make([]int, replicas)
		for row, at := range chosen {
			if at < 0 {
				continue
			}
			column := rows[row][at].node
			assert.Assert(t, cost[row][column] != forbidden, "round %d: a pruned pair was matched", round)
			total += cost[row][column]
			load[column]++
			assert.Assert(t, load[column] <= capacity[column], "round %d: over capacity", round)
		}
		best := exhaustiveMinCost(cost, capacity, 0)
		assert.Assert(t, math.Abs(total-best) < 1e-9, "round %d: flow %f, best %f", round, total, best)
	}
}
