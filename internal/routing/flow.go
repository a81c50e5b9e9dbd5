package routing

import (
	"math"
	"slices"
)

// arc is an edge of the assignment graph from a request to a replica node. The cost is the negated weight of the pair
// (IEMAS §4.3: cost = −w).
type arc struct {
	node int
	cost float64
}

// predecessor is the arc by which the shortest path reaches a replica: the row of its request and its position in the row.
type predecessor struct {
	row, arc int
}

// costTolerance is the difference of path costs below which they count as equal, to absorb rounding errors.
const costTolerance = 1e-12

// flowSolver finds an assignment of requests to replicas by min-cost max-flow with successive shortest paths (IEMAS §4.2 eq. 7,
// theorem 4.1): each request has capacity 1, each replica its free slots (eq. 2). Where the slots are too few, earlier requests go
// before later ones; of the assignments of the requests that can be served so, it finds the one with the least total cost. Buffers
// are reused between calls.
type flowSolver struct {
	chosen         []int // position of each request's arc in its row, -1 for none
	used           []int // slots used at each replica
	rowDistance    []float64
	columnDistance []float64
	reachedFrom    []predecessor
}

// resizeBuffer returns the buffer at the given length, with every element set to fill.
func resizeBuffer[Value any](buffer []Value, length int, fill Value) []Value {
	buffer = slices.Grow(buffer[:0], length)[:length]
	for position := range buffer {
		buffer[position] = fill
	}
	return buffer
}

// assign returns for each row (request) the position of its chosen arc in the row, or -1. The rows are added one after the other,
// each over its cheapest augmenting path, which moves earlier rows to other replicas but never removes one. The result is valid until
// the next call.
func (f *flowSolver) assign(rows [][]arc, capacity []int) []int {
	f.chosen = resizeBuffer(f.chosen, len(rows), -1)
	f.used = resizeBuffer(f.used, len(capacity), 0)
	for row := range rows {
		if end := f.shortest(rows, capacity, row); end >= 0 {
			f.used[end]++
			f.augment(rows, end)
		}
	}
	return f.chosen
}

// augment sends one unit of flow along the shortest path that ends at a replica: walking back from there,
// each request on the path takes its new arc and frees the replica that it was assigned before.
func (f *flowSolver) augment(rows [][]arc, end int) {
	column := end
	for remaining := len(rows); column >= 0 && remaining > 0; remaining-- {
		taken := f.reachedFrom[column]
		freed := f.chosen[taken.row]
		f.chosen[taken.row] = taken.arc
		column = -1
		if freed >= 0 {
			column = rows[taken.row][freed].node
		}
	}
}

// shortest finds the cheapest path in the residual graph from an unassigned request to any replica with a free slot. It uses
// Bellman-Ford, since arcs may have negative costs. It returns the replica at the end of the path, or -1 if there is none.
func (f *flowSolver) shortest(rows [][]arc, capacity []int, start int) int {
	unreached := math.Inf(1)
	f.rowDistance = resizeBuffer(f.rowDistance, len(rows), unreached)
	f.columnDistance = resizeBuffer(f.columnDistance, len(capacity), unreached)
	f.reachedFrom = resizeBuffer(f.reachedFrom, len(capacity), predecessor{-1, -1})
	f.rowDistance[start] = 0
	rounds := len(rows) + len(capacity)
	for changed, round := true, 0; changed && round <= rounds; round++ {
		forward := f.relaxForward(rows, capacity)
		backward := f.relaxBackward(rows)
		changed = forward || backward
	}
	best := -1
	for column, distance := range f.columnDistance {
		if f.used[column] >= capacity[column] || distance == unreached {
			continue
		}
		if best < 0 || distance < f.columnDistance[best] {
			best = column
		}
	}
	return best
}

// relaxForward relaxes the distances of replicas over arcs that carry no flow.
func (f *flowSolver) relaxForward(rows [][]arc, capacity []int) bool {
	changed := false
	unreached := math.Inf(1)
	for row, arcs := range rows {
		if f.rowDistance[row] == unreached {
			continue
		}
		for at, edge := range arcs {
			if f.chosen[row] == at || capacity[edge.node] <= 0 {
				continue
			}
			reached := f.rowDistance[row] + edge.cost
			if reached < f.columnDistance[edge.node]-costTolerance {
				f.columnDistance[edge.node] = reached
				f.reachedFrom[edge.node] = predecessor{row, at}
				changed = true
			}
		}
	}
	return changed
}

// relaxBackward relaxes the distances of requests over the reversals of the arcs that carry flow.
func (f *flowSolver) relaxBackward(rows [][]arc) bool {
	changed := false
	unreached := math.Inf(1)
	for row, at := range f.chosen {
		if at < 0 || f.columnDistance[rows[row][at].node] == unreached {
			continue
		}
		taken := rows[row][at]
		reached := f.columnDistance[taken.node] - taken.cost
		if reached < f.rowDistance[row]-costTolerance {
			f.rowDistance[row] = reached
			changed = true
		}
	}
	return changed
}
