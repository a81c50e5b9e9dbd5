package autoscale

import (
	"math"
	"slices"
)

// targetUtilization is the share of a replica's slots that should be busy on average. The rest absorbs bursts and the uneven
// distribution of requests over replicas.
const targetUtilization = 0.7

// Model is a model in demand.
type Model struct {
	// SizeMb is the memory, in MB, that a copy and its adapters in use occupy.
	SizeMb float64
	// ActiveRequests is the average number of requests that run or wait.
	ActiveRequests float64
}

// Demand is the demand on a backend, and the size of its replicas.
type Demand struct {
	// Slots is how many requests a replica runs at once. WeightSizeMb is its memory for weights in MB; 0 means no limit.
	Slots        int
	WeightSizeMb float64
	// Models are the models with recent requests.
	Models []Model
}

// RequiredReplicas returns how many replicas the demand requires.
func (d Demand) RequiredReplicas() int {
	usableSlots := targetUtilization * float64(max(d.Slots, 1))
	busy := 0.0
	var copies []float64
	for _, model := range d.Models {
		busy += model.ActiveRequests
		for range max(int(math.Ceil(model.ActiveRequests/usableSlots)), 1) {
			copies = append(copies, model.SizeMb)
		}
	}
	return max(int(math.Ceil(busy/usableSlots)), d.replicasHolding(copies))
}

// replicasHolding returns how many replicas are needed to hold copies of the given sizes, by first-fit decreasing bin packing.
func (d Demand) replicasHolding(copies []float64) int {
	if d.WeightSizeMb <= 0 {
		return 0
	}
	slices.SortFunc(copies, func(left, right float64) int {
		if left > right {
			return -1
		}
		return 1
	})
	var free []float64
	// firstOpen is the first replica that may have room for one of the remaining copies.
	firstOpen := 0
	for position, size := range copies {
		placed := slices.IndexFunc(free[firstOpen:], func(room float64) bool { return room >= size })
		if placed < 0 {
			free = append(free, d.WeightSizeMb-size)
			continue
		}
		free[firstOpen+placed] -= size
		smallest := copies[len(copies)-1]
		for position < len(copies)-1 && firstOpen < len(free) && free[firstOpen] < smallest {
			firstOpen++
		}
	}
	return len(free)
}
