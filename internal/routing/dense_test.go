package routing

import (
	"math"
	"slices"
	"sort"
	"time"
)

// forbidden marks a pair that may not be chosen.
const forbidden = math.MaxFloat64

// denseAssign is the reference implementation of flowSolver: the same flow over a dense matrix of costs.
func denseAssign(cost [][]float64, capacity []int) []int {
	chosen := make([]int, len(cost))
	load := make([]int, len(capacity))
	for request := range chosen {
		chosen[request] = -1
	}
	for request := range chosen {
		path := denseShortest(cost, capacity, chosen, load, request)
		if path == nil {
			continue
		}
		load[path[len(path)-1].replica]++
		for _, step := range path {
			chosen[step.request] = step.replica
		}
	}
	return chosen
}

// step is one arc of an augmenting path.
type step struct {
	request, replica int
}

// denseSearch is a search for the cheapest augmenting path over a dense matrix of costs.
type denseSearch struct {
	cost            [][]float64
	capacity        []int
	chosen, load    []int
	requestDistance []float64
	replicaDistance []float64
	replicaFrom     []int // request before the replica on its path
	requestFrom     []int // replica before the request on its path
}

// denseShortest returns the cheapest augmenting path from an unassigned request, or nil if there is none.
func denseShortest(cost [][]float64, capacity []int, chosen, load []int, start int) []step {
	requests, replicas := len(cost), len(capacity)
	search := denseSearch{
		cost:            cost,
		capacity:        capacity,
		chosen:          chosen,
		load:            load,
		requestDistance: make([]float64, requests),
		replicaDistance: make([]float64, replicas),
		replicaFrom:     make([]int, replicas),
		requestFrom:     make([]int, requests),
	}
	for request := range requests {
		search.requestDistance[request] = math.Inf(1)
		search.requestFrom[request] = -1
	}
	search.requestDistance[start] = 0
	for replica := range replicas {
		search.replicaDistance[replica] = math.Inf(1)
		search.replicaFrom[replica] = -1
	}
	for changed, round := true, 0; changed && round <= requests+replicas; round++ {
		forward := search.relaxReplicas()
		backward := search.relaxRequests()
		changed = forward || backward
	}
	best := search.nearestFreeReplica()
	if best < 0 {
		return nil
	}
	return pathTo(best, search.replicaFrom, search.requestFrom)
}

func (s *denseSearch) relaxReplicas() (changed bool) {
	for request, distance := range s.requestDistance {
		if math.IsInf(distance, 1) {
			continue
		}
		for replica, cost := range s.cost[request] {
			if cost == forbidden || s.chosen[request] == replica || s.capacity[replica] <= 0 {
				continue
			}
			if reached := distance + cost; reached < s.replicaDistance[replica]-1e-12 {
				s.replicaDistance[replica], s.replicaFrom[replica], changed = reached, request, true
			}
		}
	}
	return changed
}

func (s *denseSearch) relaxRequests() (changed bool) {
	for request, replica := range s.chosen {
		if replica < 0 || math.IsInf(s.replicaDistance[replica], 1) {
			continue
		}
		reached := s.replicaDistance[replica] - s.cost[request][replica]
		if reached < s.requestDistance[request]-1e-12 {
			s.requestDistance[request], s.requestFrom[request], changed = reached, replica, true
		}
	}
	return changed
}

// nearestFreeReplica returns the replica with a free slot at the least distance, or -1 if none is reachable.
func (s *denseSearch) nearestFreeReplica() int {
	best := -1
	for replica, distance := range s.replicaDistance {
		if s.load[replica] >= s.capacity[replica] || math.IsInf(distance, 1) {
			continue
		}
		if best < 0 || distance < s.replicaDistance[best] {
			best = replica
		}
	}
	return best
}

// pathTo returns the path that ends at a replica, from its start.
func pathTo(end int, replicaFrom, requestFrom []int) []step {
	var path []step
	for replica, limit := end, 0; replica >= 0 && limit <= len(requestFrom); limit++ {
		request := replicaFrom[replica]
		path = append(path, step{request, replica})
		replica = requestFrom[request]
	}
	slices.Reverse(path)
	return path
}

// denseServes is the reference implementation of Index and Replica.accepts.
func denseServes(replica *Replica, request *Request) bool {
	if replica.Backend != request.Backend || replica.Draining {
		return false
	}
	if len(request.AllowedRegions) > 0 && !slices.Contains(request.AllowedRegions, replica.Region) {
		return false
	}
	return request.Model == "" || replica.Models[request.Model]
}

// denseDecision is the decision on a batch over all replicas.
type denseDecision struct {
	modelNotLoaded []bool
	chosen         []int
	cost           [][]float64
	capacity       []int
}

// denseCosts returns the costs of a request at every replica, and whether no replica may serve it.
func denseCosts(m *Matcher, request *Request, columns []replicaNode, now time.Time) ([]float64, bool) {
	modelNotLoaded := true
	costs := make([]float64, len(columns))
	for position := range columns {
		costs[position] = forbidden
		node := &columns[position]
		replica := node.replica
		if !denseServes(replica, request) || request.ExcludedReplicas[replica.ID] || m.snapshot.DrainedZones[replica.Zone] {
			continue
		}
		if until, missing := node.state.missingUntil[request.Model]; missing && now.Before(until) {
			continue
		}
		modelNotLoaded = false
		if node.capacity <= 0 || request.TotalTokens() > node.freeMemory {
			continue
		}
		scored := m.score(&requestRow{request: request, prefillFactor: m.prefillFactors.factor(request.Model), useLedger: true}, node, now)
		if scored.inTime {
			costs[position] = -scored.weight
		}
	}
	return costs, modelNotLoaded
}

// denseChoice is the reference implementation of Matcher.assign: it scores every pair of request and replica.
func denseChoice(m *Matcher, requests []*Request, now time.Time) denseDecision {
	replicas := m.snapshot.Replicas
	answer := denseDecision{
		modelNotLoaded: make([]bool, len(requests)),
		cost:           make([][]float64, len(requests)),
		capacity:       make([]int, len(replicas)),
	}
	columns := make([]replicaNode, len(replicas))
	for position, replica := range replicas {
		columns[position] = replicaNode{
			position: position,
			replica:  replica,
			state:    m.replicas.state(replica.ID),
			peerLoad: m.snapshot.PeerLoads[replica.ID],
		}
		m.measureCapacity(&columns[position], now)
		answer.capacity[position] = columns[position].capacity
	}
	for row, request := range requests {
		answer.cost[row], answer.modelNotLoaded[row] = denseCosts(m, request, columns, now)
	}
	answer.chosen = denseAssign(answer.cost, answer.capacity)
	var sequence []int
	for row, position := range answer.chosen {
		if position >= 0 {
			sequence = append(sequence, row)
		}
	}
	sort.SliceStable(sequence, func(left, right int) bool {
		return requests[sequence[left]].Priority < requests[sequence[right]].Priority
	})
	for _, row := range sequence {
		node := &columns[answer.chosen[row]]
		if requests[row].TotalTokens() > node.freeMemory {
			answer.chosen[row] = -1
			continue
		}
		node.freeMemory -= requests[row].TotalTokens()
	}
	return answer
}
