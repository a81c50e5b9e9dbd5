package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// assignmentResult is which requests of an assignment are served, and at what total cost.
type assignmentResult struct {
	served []bool
	cost   float64
}

// isBetterThan reports whether an assignment serves an earlier request that the other does not or, if both serve the same ones, costs
// less.
func (r assignmentResult) isBetterThan(other assignmentResult) bool {
	for request := range r.served {
		if r.served[request] != other.served[request] {
			return r.served[request]
		}
	}
	return r.cost < other.cost
}

// exhaustiveBest returns the best assignment of the requests from the given one on, by exhaustive search. served are those before it.
func exhaustiveBest(cost [][]float64, capacity []int, served []bool) assignmentResult {
	request := len(served)
	if request == len(cost) {
		return assignmentResult{served: slices.Clone(served)}
	}
	best := exhaustiveBest(cost, capacity, append(served, false))
	for replica := range capacity {
		if capacity[replica] == 0 || cost[request][replica] == forbidden {
			continue
		}
		capacity[replica]--
		found := exhaustiveBest(cost, capacity, append(served, true))
		found.cost += cost[request][replica]
		if found.isBetterThan(best) {
			best = found
		}
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
				cost[row][column] = 0.5 - random.Float64()
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
		best := exhaustiveBest(cost, capacity, nil)
		for row, at := range chosen {
			assert.Equal(t, at >= 0, best.served[row], "round %d: request %d of %v", round, row, best.served)
		}
		assert.Assert(t, math.Abs(total-best.cost) < 1e-9, "round %d: flow %f, best %f", round, total, best.cost)
	}
}
