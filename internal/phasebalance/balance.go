// Package phasebalance decides how many replicas of a split backend read prompts (prefill) and how many make tokens (decode),
// and which of them change over.
//
// It is pure: it sends nothing, reads no clock and keeps no state. What is known of the fleet is passed in as a View, and what
// is to be ordered now comes back as Changes; the caller orders them, and a change that is under way is part of the next View.
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
	// Phase is that which it has, or changes to if ChangingPhase is set.
	Phase         discovery.Phase
	ChangingPhase bool
	// CanChangePhase says that its state is known, nothing is under way, and it is neither draining nor suspected.
	CanChangePhase bool
	// Serving says that it counts as a replica of its phase: it is neither draining nor suspected, and its zone is not
	// evacuated.
	Serving bool
}

// Input is the input of a plan.
type Input struct {
	Replicas []Replica
	// RunningRequests is how many requests decode replicas run for all data planes together, averaged over seconds.
	RunningRequests float64
	// SlotsPerReplica is how many requests a replica runs at once.
	SlotsPerReplica int
	// Rebalancing says that the last plan found the phases out of balance, so that this one goes on until they are in balance.
	Rebalancing bool
}

// Change has a replica take another phase.
type Change struct {
	Replica string
	Phase   discovery.Phase
}

// Result is a plan.
type Result struct {
	Changes []Change
	// Rebalancing is to be passed to the next plan.
	Rebalancing bool
	// TargetPrefill is how many replicas the plan would have read prompts.
	TargetPrefill int
}

const (
	// targetDecodeShare is the share of its slots that a decode replica is meant to have taken.
	targetDecodeShare = 0.25
	// minDecodeShare is the share of all replicas that make tokens whatever the load, for a burst of long answers.
	minDecodeShare = 0.3
	// minPrefillShare is the same for prefill replicas: while they can't keep up, requests wait for them, and more of them
	// run at once than the answers alone explain.
	minPrefillShare = 0.5
	// minRunning is how many requests for each replica run at the least while the load says anything.
	minRunning = 0.2
	// startShare is the share of all replicas by which the phases must be out of balance for a move to begin; minStart is the
	// least number.
	startShare = 0.08
	minStart   = 2
	// changingShare is the share of all replicas that may be changing over at once.
	changingShare = 1.0 / 3
	// keptHeadroom is how many times the slots that are taken decode replicas must keep while some of them change over.
	keptHeadroom = 1.5
)

// Plan returns the changes to order now. Decode replicas are as many as keep targetDecodeShare of their slots taken, and all
// others read prompts: a decode replica without a free slot makes requests wait behind whole streams, whereas reading only gets
// faster with every replica that does it. How long a prompt takes to read is not told by replicas, and can't be learned from
// requests that share a replica with others. Each zone keeps at least one replica of each phase while it has two. A move begins
// only once the phases are clearly out of balance, and goes on until they are within one replica of it, so that a load that
// swings does not move replicas to and fro.
func Plan(view Input) Result {
	counts := countPhases(view.Replicas)
	if counts.total < 2 || view.RunningRequests < minRunning*float64(counts.total) {
		return Result{TargetPrefill: counts.prefill}
	}
	desired := desiredPrefill(view, counts.total)
	gap := desired - counts.prefill
	result := Result{TargetPrefill: desired}
	threshold := max(minStart, int(math.Ceil(startShare*float64(counts.total))))
	if abs(gap) < threshold && !(view.Rebalancing && abs(gap) > 1) {
		return result
	}
	result.Rebalancing = true
	room := max(int(changingShare*float64(counts.total)), 1) - counts.changing
	room = min(room, abs(gap))
	if gap > 0 {
		needed := int(math.Ceil(keptHeadroom * view.RunningRequests / float64(max(view.SlotsPerReplica, 1))))
		room = min(room, counts.total-counts.prefill-needed)
	}
	result.Changes = chooseChanges(view.Replicas, desired, counts.total, gap, room)
	return result
}

// phaseCounts counts serving replicas.
type phaseCounts struct {
	total, prefill, changing int
}

// countPhases counts the serving replicas, those that change over by the phase to come.
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

// desiredPrefill is how many of all replicas are to read prompts.
func desiredPrefill(view Input, total int) int {
	decode := int(math.Ceil(view.RunningRequests / (targetDecodeShare * float64(max(view.SlotsPerReplica, 1)))))
	least := max(int(math.Ceil(minDecodeShare*float64(total))), 1)
	most := total - max(int(math.Ceil(minPrefillShare*float64(total))), 1)
	return total - max(min(max(decode, least), most), 1)
}

// zoneCount is how many serving replicas a zone has in the phase that gives some, and in all.
type zoneCount struct {
	giving, total int
}

// chooseChanges picks up to room replicas of the phase that has too many, each from the zone that is furthest above its share.
func chooseChanges(replicas []Replica, desired, total, gap, room int) []Change {
	from, to, share := discovery.PhaseDecode, discovery.PhasePrefill, float64(total-desired)/float64(total)
	if gap < 0 {
		from, to, share = discovery.PhasePrefill, discovery.PhaseDecode, float64(desired)/float64(total)
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
		zones[replica.Zone].giving++
		if replica.CanChangePhase {
			movable[replica.Zone] = append(movable[replica.Zone], replica.ID)
		}
	}
	for _, ids := range movable {
		slices.Sort(ids)
	}
	var changes []Change
	for len(changes) < room {
		zone, found := zoneAboveShare(zones, movable, share)
		if !found {
			break
		}
		changes = append(changes, Change{Replica: movable[zone][0], Phase: to})
		movable[zone] = movable[zone][1:]
		zones[zone].giving--
	}
	return changes
}

// zoneAboveShare is the zone with the most giving replicas above its share, of those that keep one and have one to give.
func zoneAboveShare(zones map[string]*zoneCount, movable map[string][]string, share float64) (best string, found bool) {
	names := make([]string, 0, len(zones))
	for name, count := range zones {
		if len(movable[name]) > 0 && count.giving > 1 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	excess := func(name string) float64 { return float64(zones[name].giving) - share*float64(zones[name].total) }
	return slices.MinFunc(names, func(left, right string) int {
		return cmp.Or(cmp.Compare(excess(right), excess(left)), cmp.Compare(left, right))
	}), true
}

func abs(value int) int { return max(value, -value) }
