// Package phasebalance decides how many replicas of a disaggregated backend run prefill and how many run decode, and which of
// them change their phase.
//
// It is pure: it sends nothing, reads no clock and keeps no state. The state of the fleet is passed in as an Input, and the
// changes to order now are returned in a Result. The caller orders them, and passes changes in progress in the next Input.
// Start reading at Plan.
package phasebalance

import (
	"cmp"
	"math"
	"slices"

	"ferryspar/internal/discovery"
)

// Replica is a replica of the backend.
type Replica struct {
	ID   string
	Zone string
	// Phase is the replica's phase, or the phase that it changes to if ChangingPhase is set.
	Phase         discovery.Phase
	ChangingPhase bool
	// CanChangePhase is set if the replica's state is known, no order is in progress, and it is neither draining nor suspected.
	CanChangePhase bool
	// Serving is set if the replica counts towards its phase: it is neither draining nor suspected, and its zone is not
	// evacuated.
	Serving bool
}

// Input is the input of a plan.
type Input struct {
	Replicas []Replica
	// RunningRequests is the number of requests that decode replicas run for all data planes, averaged over seconds.
	RunningRequests float64
	// SlotsPerReplica is the maximum number of concurrent requests of a replica.
	SlotsPerReplica int
	// Rebalancing is Result.Rebalancing of the last plan. If it is set, this plan continues until the phases are in balance.
	Rebalancing bool
}

// Change is a replica's change to another phase.
type Change struct {
	Replica string
	Phase   discovery.Phase
}

// Result is the result of a plan.
type Result struct {
	Changes []Change
	// Rebalancing is set while the phases are out of balance, and must be passed to the next plan.
	Rebalancing bool
	// TargetPrefill is the number of prefill replicas that the plan aims at.
	TargetPrefill int
}

const (
	// targetDecodeUtilization is the target utilization of the slots of decode replicas.
	targetDecodeUtilization = 0.25
	// minDecodeShare is the least share of decode replicas at any load, to absorb a burst of long answers.
	minDecodeShare = 0.3
	// minPrefillShare is the least share of prefill replicas: if there are too few of them, requests queue for them, and the
	// number of running requests no longer reflects the demand for decoding.
	minPrefillShare = 0.5
	// minRunning is the number of running requests per replica below which the load is too low to plan by.
	minRunning = 0.2
	// minImbalanceShare is the share of all replicas by which the phases must be out of balance for rebalancing to start, and
	// minImbalance the least number of replicas.
	minImbalanceShare = 0.08
	minImbalance      = 2
	// maxChangingShare is the share of all replicas that may be changing their phase at the same time.
	maxChangingShare = 1.0 / 3
	// minDecodeHeadroom is the ratio of slots to running requests that decode replicas must keep when some of them become prefill
	// replicas.
	minDecodeHeadroom = 1.5
)

// Plan returns the changes to order now. The number of decode replicas is chosen so that targetDecodeUtilization of their slots
// is in use, and all other replicas run prefill: without a free decode slot, requests wait for whole streams to end, whereas
// prefill gets faster with each replica that is added. Prefill times cannot be used, since replicas do not report them and they
// cannot be learned from requests that share a replica with others. Each zone keeps at least one replica of each phase while it
// has two. Rebalancing starts only when the phases are clearly out of balance and continues until they are within one replica
// of the target; this hysteresis avoids repeated changes under a fluctuating load.
func Plan(input Input) Result {
	counts := countPhases(input.Replicas)
	if counts.total < 2 || input.RunningRequests < minRunning*float64(counts.total) {
		return Result{TargetPrefill: counts.prefill}
	}
	target := targetPrefill(input, counts.total)
	gap := target - counts.prefill
	result := Result{TargetPrefill: target}
	threshold := max(minImbalance, int(math.Ceil(minImbalanceShare*float64(counts.total))))
	if abs(gap) < threshold && !(input.Rebalancing && abs(gap) > 1) {
		return result
	}
	result.Rebalancing = true
	room := max(int(maxChangingShare*float64(counts.total)), 1) - counts.changing
	room = min(room, abs(gap))
	if gap > 0 {
		needed := int(math.Ceil(minDecodeHeadroom * input.RunningRequests / float64(max(input.SlotsPerReplica, 1))))
		room = min(room, counts.total-counts.prefill-needed)
	}
	result.Changes = chooseChanges(input.Replicas, target, counts.total, gap, room)
	return result
}

// phaseCounts counts serving replicas.
type phaseCounts struct {
	total, prefill, changing int
}

// countPhases counts the serving replicas; those that are changing their phase count for the new one.
func countPhases(replicas []Replica) phaseCounts {
	var counts phaseCounts
	for _, replica := range replicas {
		if !replica.Serving {
			continue
		}
		counts.total++
		if replica.Phase == discovery.PhasePrefill {
			counts.prefill++
		}
		if replica.ChangingPhase {
			counts.changing++
		}
	}
	return counts
}

// targetPrefill returns the target number of prefill replicas.
func targetPrefill(input Input, total int) int {
	decode := int(math.Ceil(input.RunningRequests / (targetDecodeUtilization * float64(max(input.SlotsPerReplica, 1)))))
	least := max(int(math.Ceil(minDecodeShare*float64(total))), 1)
	most := total - max(int(math.Ceil(minPrefillShare*float64(total))), 1)
	return total - max(min(max(decode, least), most), 1)
}

// zoneCount counts a zone's serving replicas, those of the phase with a surplus and all.
type zoneCount struct {
	surplus, total int
}

// chooseChanges selects up to room replicas of the phase with a surplus, each from the zone with the largest surplus.
func chooseChanges(replicas []Replica, target, total, gap, room int) []Change {
	from, to, share := discovery.PhaseDecode, discovery.PhasePrefill, float64(total-target)/float64(total)
	if gap < 0 {
		from, to, share = discovery.PhasePrefill, discovery.PhaseDecode, float64(target)/float64(total)
	}
	zones := map[string]*zoneCount{}
	movable := map[string][]string{}
	for _, replica := range replicas {
		if !replica.Serving {
			continue
		}
		if zones[replica.Zone] == nil {
			zones[replica.Zone] = &zoneCount{}
		}
		zones[replica.Zone].total++
		if replica.Phase != from {
			continue
		}
		zones[replica.Zone].surplus++
		if replica.CanChangePhase {
			movable[replica.Zone] = append(movable[replica.Zone], replica.ID)
		}
	}
	for _, ids := range movable {
		slices.Sort(ids)
	}
	var changes []Change
	for len(changes) < room {
		zone, found := zoneWithLargestSurplus(zones, movable, share)
		if !found {
			break
		}
		changes = append(changes, Change{Replica: movable[zone][0], Phase: to})
		movable[zone] = movable[zone][1:]
		zones[zone].surplus--
	}
	return changes
}

// zoneWithLargestSurplus returns the zone with the most surplus replicas above its share, among those that keep one such replica
// and have one that can change its phase.
func zoneWithLargestSurplus(zones map[string]*zoneCount, movable map[string][]string, share float64) (best string, found bool) {
	names := make([]string, 0, len(zones))
	for name, count := range zones {
		if len(movable[name]) > 0 && count.surplus > 1 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	excess := func(name string) float64 { return float64(zones[name].surplus) - share*float64(zones[name].total) }
	return slices.MinFunc(names, func(left, right string) int {
		return cmp.Or(cmp.Compare(excess(right), excess(left)), cmp.Compare(left, right))
	}), true
}

func abs(value int) int { return max(value, -value) }
