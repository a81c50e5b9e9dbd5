package match

import "math"

const forbidden = math.MaxFloat64

func Assign(cost [][]float64, capacity []int) []int {
	orders, replicas := len(cost), len(capacity)
	chosen := make([]int, orders)
	load := make([]int, replicas)
	for order := range chosen {
		chosen[order] = -1
	}
	for {
		path, gain := shortest(cost, capacity, chosen, load, orders, replicas)
		if path == nil || gain >= 0 {
			return chosen
		}
		load[path[len(path)-1].replica]++
		for _, step := range path {
			chosen[step.order] = step.replica
		}
	}
}

type step struct {
	order, replica int
}

func shortest(cost [][]float64, capacity []int, chosen, load []int, orders, replicas int) ([]step, float64) {
	orderDistance := make([]float64, orders)
	replicaDistance := make([]float64, replicas)
	replicaFrom := make([]int, replicas)
	orderFrom := make([]int, orders)
	for order := range orderDistance {
		orderDistance[order] = math.Inf(1)
		orderFrom[order] = -1
		if chosen[order] < 0 {
			orderDistance[order] = 0
		}
	}
	for replica := range replicaDistance {
		replicaDistance[replica] = math.Inf(1)
		replicaFrom[replica] = -1
	}
	for changed, round := true, 0; changed && round <= orders+replicas; round++ {
		changed = false
		for order := 0; order < orders; order++ {
			if math.IsInf(orderDistance[order], 1) {
				continue
			}
			for replica := 0; replica < replicas; replica++ {
				if cost[order][replica] == forbidden || chosen[order] == replica || capacity[replica] <= 0 {
					continue
				}
				if reached := orderDistance[order] + cost[order][replica]; reached < replicaDistance[replica]-1e-12 {
					replicaDistance[replica], replicaFrom[replica], changed = reached, order, true
				}
			}
		}
		for order := 0; order < orders; order++ {
			replica := chosen[order]
			if replica < 0 || math.IsInf(replicaDistance[replica], 1) {
				continue
			}
			if reached := replicaDistance[replica] - cost[order][replica]; reached < orderDistance[order]-1e-12 {
				orderDistance[order], orderFrom[order], changed = reached, replica, true
			}
		}
	}
	best := -1
	for replica := 0; replica < replicas; replica++ {
		if load[replica] >= capacity[replica] || math.IsInf(replicaDistance[replica], 1) {
			continue
		}
		if best < 0 || replicaDistance[replica] < replicaDistance[best] {
			best = replica
		}
	}
	if best < 0 {
		return nil, 0
	}
	var reversed []step
	for replica, bound := best, 0; replica >= 0 && bound <= orders; bound++ {
		order := replicaFrom[replica]
		reversed = append(reversed, step{order, replica})
		replica = orderFrom[order]
	}
	path := make([]step, 0, len(reversed))
	for position := len(reversed) - 1; position >= 0; position-- {
		path = append(path, reversed[position])
	}
	return path, replicaDistance[best]
}
