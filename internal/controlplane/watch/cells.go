package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/discovery"
)

// The endpoint set of a model that is loaded on thousands of replicas would be sent to every data plane whenever one of them
// changes, and every load report would be answered with the load of all of them. Such a set is divided into cells by a hash of the
// replicas' ids, and a subscriber is sent a few cells that are chosen by a hash of its name (docs/design/parts.md). Control planes
// need not agree on the cells: a data plane gets its endpoints from one control plane only.

const (
	// maxUndividedSize is the number of replicas up to which a set is sent whole.
	maxUndividedSize = 320
	// maxCellSize and minCellSize bound the average size of a cell. Within these bounds the number of cells is kept, so that small
	// changes of a set's size don't divide it anew.
	maxCellSize = 160
	minCellSize = 60
	// minCells is the smallest number of cells of a divided set.
	minCells = 4
	// cellsPerSubscriber is the number of cells that a subscriber is sent. With two it can use the less busy one, which evens out
	// different numbers of subscribers per cell.
	cellsPerSubscriber = 2
)

// cell is a part of a divided set.
type cell struct {
	// endpoints are ordered by id.
	endpoints []*endpointSource
	// version is the publisher's version at which the cell last changed.
	version uint64
	// ready counts the ready replicas by phase.
	ready map[discovery.Phase]int
}

// cellCount returns the number of cells for a set of so many replicas that is divided into present cells now. It is a power of two,
// so that a change splits cells or joins pairs of them, and most replicas stay together. 1 means an undivided set.
func cellCount(present, replicas int) int {
	if present > 1 && replicas >= present*minCellSize && replicas <= present*maxCellSize {
		return present
	}
	if replicas <= maxUndividedSize {
		return 1
	}
	count := minCells
	for replicas > count*maxCellSize {
		count *= 2
	}
	return count
}

// cellOf returns the index of a replica's cell.
func cellOf(id string, count int) int { return int(xxhash.Sum64String(id) & uint64(count-1)) }

// updateCells updates the cells of a model's set after the replicas with the given ids have changed. Cells without any of these
// replicas keep their version.
func (s *endpointSet) updateCells(model string, changedIDs map[string]bool, version uint64) {
	count := cellCount(max(len(s.cells), 1), len(s.endpoints))
	if count == 1 {
		s.cells, s.adapterReplicas = nil, nil
		return
	}
	s.chooseAdapterReplicas(model, changedIDs, version)
	all := count != len(s.cells)
	if all {
		s.cells = make([]cell, count)
	}
	stale := map[int]bool{}
	for id := range changedIDs {
		stale[cellOf(id, count)] = true
	}
	for index := range s.cells {
		if all || stale[index] {
			s.cells[index] = cell{version: version, ready: map[discovery.Phase]int{}}
		}
	}
	for id, replica := range s.endpoints {
		index := cellOf(id, count)
		if all || stale[index] {
			s.cells[index].add(replica)
		}
	}
	s.ready = map[discovery.Phase]int{}
	for index := range s.cells {
		if all || stale[index] {
			slices.SortFunc(s.cells[index].endpoints, compareIDs)
		}
		for phase, count := range s.cells[index].ready {
			s.ready[phase] += count
		}
	}
}

// compareIDs orders endpoint sources by replica id.
func compareIDs(left, right *endpointSource) int { return cmp.Compare(left.listed.ID, right.listed.ID) }

// add appends a replica; the caller sorts the endpoints afterwards.
func (c *cell) add(replica *endpointSource) {
	c.endpoints = append(c.endpoints, replica)
	if replica.listed.State == discovery.StateReady {
		c.ready[replica.listed.Phase]++
	}
}

// cellsFor returns the cells that a data plane is sent: cellsPerSubscriber cells chosen by a hash of its name, and further ones as
// long as these lack a phase of the set, or hold less than half of the ready replicas of cellsPerSubscriber average cells, as after
// the loss of a zone.
func (s *endpointSet) cellsFor(dataPlane string) []int {
	count := len(s.cells)
	wanted := sumReady(s.ready) * cellsPerSubscriber / (2 * count)
	order := cellOrder(dataPlane, count)
	taken := cellsPerSubscriber
	for taken < count {
		ready := s.readyIn(order[:taken])
		if sumReady(ready) >= wanted && len(ready) == len(s.ready) {
			break
		}
		taken++
	}
	return order[:taken]
}

// cellOrder returns the order in which cells are chosen for a data plane: first one chosen by a hash of its name, then the others,
// starting from one chosen by the same hash.
func cellOrder(dataPlane string, count int) []int {
	hash := xxhash.Sum64String(dataPlane)
	first := int(hash & uint64(count-1))
	offset := int(hash >> 32 % uint64(count-1))
	order := make([]int, 0, count)
	order = append(order, first)
	for step := range count - 1 {
		order = append(order, (first+1+(offset+step)%(count-1))%count)
	}
	return order
}

// readyIn returns the number of ready replicas in the cells, by phase.
func (s *endpointSet) readyIn(cells []int) map[discovery.Phase]int {
	ready := map[discovery.Phase]int{}
	for _, index := range cells {
		for phase, count := range s.cells[index].ready {
			ready[phase] += count
		}
	}
	return ready
}

func sumReady(ready map[discovery.Phase]int) int {
	sum := 0
	for _, count := range ready {
		sum += count
	}
	return sum
}

// endpointsFor returns the replicas that a data plane is sent, in no particular order.
func (s *endpointSet) endpointsFor(dataPlane string) []*endpointSource {
	var sent []*endpointSource
	switch {
	case s.sample != nil:
		for _, replica := range s.sample {
			sent = append(sent, replica)
		}
	case len(s.cells) > 1:
		for _, index := range s.cellsFor(dataPlane) {
			sent = append(sent, s.cells[index].endpoints...)
		}
		sent = s.appendAdapterReplicas(sent)
	default:
		for _, replica := range s.endpoints {
			sent = append(sent, replica)
		}
	}
	return sent
}

// versionFor returns the publisher's version at which the endpoints that a data plane is sent last changed.
func (s *endpointSet) versionFor(dataPlane string) uint64 {
	if s.sample != nil || len(s.cells) <= 1 {
		return s.version
	}
	newest := s.adapterReplicasVersion
	for _, index := range s.cellsFor(dataPlane) {
		newest = max(newest, s.cells[index].version)
	}
	return newest
}
