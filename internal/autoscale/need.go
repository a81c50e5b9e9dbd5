package autoscale

import (
	"math"
	"slices"
)

// targetUse is the share of its slots that a replica is to have busy: bursts and the uneven division of requests need the rest.
const targetUse = 0.7

// Model is one model that requests ask for.
type Model struct {
	// SizeMb is the memory, in MB, that a copy takes with the adapters in use.
	SizeMb float64
	// ActiveRequests is how many requests run or wait, on average.
	ActiveRequests float64
}

// Demand is what is asked of a backend.
type Demand struct {
	// Slots and WeightSizeMb are how many requests a replica runs at once, and its memory for weights in MB; no memory is no limit.
	Slots        int
	WeightSizeMb float64
	// Models are those that requests have asked for lately.
	Models []Model
}

// RequiredReplicas is how many replicas the demand needs.
func (d Demand) RequiredReplicas() int {
	usableSlots := targetUse * float64(max(d.Slots, 1))
	busy := 0.0
	var copies []float64
	for _, model := range d.Models {
		busy += model.ActiveRequests
		for range max(int(math.Ceil(model.ActiveRequests/usableSlots)), 1) {
			copies = append(copies, model.SizeMb)
		}
	}
	return max(int(math.Ceil(busy/usableSlots)), d.replicasFor(copies))
}

// replicasFor is how many replicas hold copies of the given sizes, each put into the first replica with room, the largest first.
func (d Demand) replicasFor(copies []float64) int {
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
	// firstOpen is the first replica that may have room for any copy that is left.
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
