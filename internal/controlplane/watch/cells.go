package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/discovery"
)

// The set of a model that is loaded on thousands of replicas would be sent to every data plane whenever one of them changes, and
// every load report would be answered with the load of all. Such a set is divided into cells by a hash of the replicas' ids,
// and a subscriber is sent a few cells that a hash of its name picks (docs/design/parts.md). Control planes need not agree: a
// data plane takes its endpoints from one of them.

const (
	// maxUndivided is the size up to which a set is sent whole.
	maxUndivided = 320
	// maxCellSize and minCellSize bound the average size of a cell; between them the number of cells stays, so that a set that
	// grows and shrinks a little is not divided anew.
	maxCellSize = 160
	minCellSize = 60
	// minCells is the least number of cells of a divided set.
	minCells = 4
	// cellsPerSubscriber is how many cells a subscriber is sent: of two, it can use the one that is less busy, which evens out
	// that cells have different numbers of subscribers.
	cellsPerSubscriber = 2
)

// cell is a part of a divided set.
type cell struct {
	// endpoints are ordered by id.
	endpoints []*endpointSource
	// version is that of the roster in which the cell last changed.
	version uint64
	// ready counts the replicas that are ready, by phase.
	ready map[discovery.Phase]int
}

// cellCount is the number of cells for a set of so many replicas that has so many now: a power of two, so that a cell is split or
// two are joined when it changes, and most replicas keep their neighbours. 1 stands for an undivided set.
func cellCount(present, replicas int) int {
	if present > 1 && replicas >= present*minCellSize && replicas <= present*maxCellSize {
		return present
	}
	if replicas <= maxUndivided {
		return 1
	}
	count := minCells
	for replicas > count*maxCellSize {
		count *= 2
	}
	return count
}

// cellOf is the cell of a replica.
func cellOf(id string, count int) int { return int(xxhash.Sum64String(id) & uint64(count-1)) }

// divide divides the set of a model again after the replicas with the ids have changed. Cells without any of them keep their
// version.
func (s *endpointSet) divide(model string, changedIDs map[string]bool, version uint64) {
	count := cellCount(max(len(s.cells), 1), len(s.endpoints))
	if count == 1 {
		s.cells, s.carriers = nil, nil
		return
	}
	s.chooseCarriers(model, changedIDs, version)
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

func compareIDs(left, right *endpointSource) int { return cmp.Compare(left.listed.ID, right.listed.ID) }

// add adds a replica out of order.
func (c *cell) add(replica *endpointSource) {
	c.endpoints = append(c.endpoints, replica)
	if replica.listed.State == discovery.StateReady {
		c.ready[replica.listed.Phase]++
	}
}

// cellsFor returns the cells that a data plane is sent: those that its name picks, and more while these lack a phase that the set
// has or hold less than half of the ready replicas that so many cells should, as after the loss of a zone.
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

// cellOrder is the order in which a data plane uses cells: one that its name picks, then the others from a place that it picks
// as well.
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

// readyIn counts the ready replicas of cells by phase.
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

// sentTo returns the replicas that a data plane is sent, in no order.
func (s *endpointSet) sentTo(dataPlane string) []*endpointSource {
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
		sent = s.appendCarriers(sent)
	default:
		for _, replica := range s.endpoints {
			sent = append(sent, replica)
		}
	}
	return sent
}

// versionFor is that of the roster in which what a data plane is sent last changed.
func (s *endpointSet) versionFor(dataPlane string) uint64 {
	if s.sample != nil || len(s.cells) <= 1 {
		return s.version
	}
	newest := s.carriersVersion
	for _, index := range s.cellsFor(dataPlane) {
		newest = max(newest, s.cells[index].version)
	}
	return newest
}
