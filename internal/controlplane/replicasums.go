package controlplane

import (
	"math"

	"ferryspar/internal/peer"
)

const (
	// maxFailedPerReport is how many failures at a replica one data plane's report counts for at most.
	maxFailedPerReport = 2.0
	// negligible is the rest of a sum below which it counts as zero, as differences of floats leave
	// some.
	negligible = 1e-6
)

// replicaTotals sums the reports of this daemon's data planes, by adding new reports and taking old
// ones away.
type replicaTotals struct {
	byReplica map[string]peer.ReplicaLoad
	// byZone sums the outcomes by the data planes' zone and the replica.
	byZone map[[2]string]peer.Outcomes
	total  peer.Outcomes
}

// newReplicaTotals is empty sums.
func newReplicaTotals() *replicaTotals {
	return &replicaTotals{byReplica: map[string]peer.ReplicaLoad{}, byZone: map[[2]string]peer.Outcomes{}}
}

// cappedOutcomes bounds what one data plane's failures count for.
func cappedOutcomes(outcomes peer.Outcomes) peer.Outcomes {
	return peer.Outcomes{Served: outcomes.Served, Failed: min(outcomes.Failed, maxFailedPerReport)}
}

// addOutcomes adds or, with a sign of -1, takes away.
func addOutcomes(sum, other peer.Outcomes, sign float64) peer.Outcomes {
	return peer.Outcomes{Served: sum.Served + sign*other.Served, Failed: sum.Failed + sign*other.Failed}
}

// addLoad adds a load to a sum or, with a sign of -1, takes it away.
func addLoad(sum, load peer.ReplicaLoad, sign float64) peer.ReplicaLoad {
	sum.Running += int(sign) * load.Running
	sum.Tokens += sign * load.Tokens
	sum.PrefillTokens += sign * load.PrefillTokens
	sum.Outcomes = addOutcomes(sum.Outcomes, cappedOutcomes(load.Outcomes), sign)
	return sum
}

// addReport adds a report or, with a sign of -1, takes it away; sums that reach zero are dropped.
func (t *replicaTotals) addReport(report peer.LoadReport, sign float64) {
	for id, one := range report.Replicas {
		sum := addLoad(t.byReplica[id], one, sign)
		t.total = addOutcomes(t.total, cappedOutcomes(one.Outcomes), sign)
		t.byReplica[id] = sum
		magnitude := math.Abs(sum.Tokens) + math.Abs(sum.PrefillTokens) + math.Abs(sum.Served) + math.Abs(sum.Failed)
		if sum.Running == 0 && magnitude < negligible {
			delete(t.byReplica, id)
		}
		key := [2]string{report.Zone, id}
		zoned := addOutcomes(t.byZone[key], cappedOutcomes(one.Outcomes), sign)
		t.byZone[key] = zoned
		if math.Abs(zoned.Served)+math.Abs(zoned.Failed) < negligible {
			delete(t.byZone, key)
		}
	}
}

// roundToTenth rounds to a tenth.
func roundToTenth(value float64) float64 { return math.Round(value*10) / 10 }

// rounded are the sums as other daemons are told.
func (t *replicaTotals) rounded() map[string]peer.ReplicaLoad {
	rounded := make(map[string]peer.ReplicaLoad, len(t.byReplica))
	for id, sum := range t.byReplica {
		rounded[id] = roundedLoad(sum, peer.Outcomes{})
	}
	return rounded
}

// roundedLoad rounds a sum; outcomes are told only with failures.
func roundedLoad(sum peer.ReplicaLoad, sameZone peer.Outcomes) peer.ReplicaLoad {
	rounded := peer.ReplicaLoad{
		Running:       sum.Running,
		Tokens:        math.Round(sum.Tokens),
		PrefillTokens: math.Round(sum.PrefillTokens),
	}
	if failed := roundToTenth(sum.Failed); failed > 0 {
		rounded.Outcomes = peer.Outcomes{Served: roundToTenth(sum.Served), Failed: failed}
		rounded.ZoneServed = roundToTenth(sameZone.Served)
		rounded.ZoneFailed = roundToTenth(sameZone.Failed)
	}
	return rounded
}
