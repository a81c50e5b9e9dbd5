package demand

import (
	"math"

	"ferryspar/internal/peer"
)

const (
	// maxFailedPerReport caps the failures at a replica that are counted from one data plane's report: a data plane with a
	// faulty network of its own must not make others avoid the replica.
	maxFailedPerReport = 2.0
	// negligible is the value below which a sum counts as zero: adding and subtracting the same floats doesn't always give
	// exactly zero.
	negligible = 1e-6
)

// sign is whether a value is added to a sum or subtracted from it.
type sign int

const (
	added   sign = 1
	removed sign = -1
)

// zoneReplica is the key of a replica's outcomes at the data planes of one zone.
type zoneReplica struct {
	zone    string
	replica string
}

// replicaTotals sums the reports of data planes. A new report is added and the one that it replaces is subtracted, so that
// the cost of a report doesn't depend on the number of data planes. The aggregator's lock guards it.
type replicaTotals struct {
	byReplica map[string]peer.ReplicaLoad
	byZone    map[zoneReplica]peer.Outcomes
	total     peer.Outcomes
}

// newReplicaTotals returns empty totals.
func newReplicaTotals() *replicaTotals {
	return &replicaTotals{
		byReplica: map[string]peer.ReplicaLoad{},
		byZone:    map[zoneReplica]peer.Outcomes{},
	}
}

// applyReport adds a report or subtracts it. Sums that reach zero are dropped.
func (t *replicaTotals) applyReport(report peer.LoadReport, change sign) {
	for id, load := range report.Replicas {
		outcomes := cappedOutcomes(load.Outcomes)
		t.total = addOutcomes(t.total, outcomes, change)
		sum := addLoad(t.byReplica[id], load, change)
		if isNegligible(sum) {
			delete(t.byReplica, id)
		} else {
			t.byReplica[id] = sum
		}
		key := zoneReplica{zone: report.Zone, replica: id}
		zoneSum := addOutcomes(t.byZone[key], outcomes, change)
		if math.Abs(zoneSum.Served)+math.Abs(zoneSum.Failed) < negligible {
			delete(t.byZone, key)
		} else {
			t.byZone[key] = zoneSum
		}
	}
}

// isNegligible reports whether a sum counts as zero.
func isNegligible(sum peer.ReplicaLoad) bool {
	magnitude := math.Abs(sum.Tokens) + math.Abs(sum.PrefillTokens) + math.Abs(sum.Served) + math.Abs(sum.Failed)
	return sum.Running == 0 && magnitude < negligible
}

// rounded returns the sums by replica, rounded for other control planes.
func (t *replicaTotals) rounded() map[string]peer.ReplicaLoad {
	rounded := make(map[string]peer.ReplicaLoad, len(t.byReplica))
	for id, sum := range t.byReplica {
		rounded[id] = roundedLoad(sum, peer.Outcomes{})
	}
	return rounded
}

// failuresByZone returns the rounded outcomes by zone at replicas that had failures, or nil if none had.
func (t *replicaTotals) failuresByZone() map[string]peer.ZoneOutcomes {
	var byZone map[string]peer.ZoneOutcomes
	for key, sum := range t.byZone {
		outcomes := roundedOutcomes(sum)
		if outcomes.Failed <= 0 {
			continue
		}
		if byZone == nil {
			byZone = map[string]peer.ZoneOutcomes{}
		}
		if byZone[key.zone] == nil {
			byZone[key.zone] = peer.ZoneOutcomes{}
		}
		byZone[key.zone][key.replica] = outcomes
	}
	return byZone
}

// cappedOutcomes caps the failures of one data plane at maxFailedPerReport.
func cappedOutcomes(outcomes peer.Outcomes) peer.Outcomes {
	return peer.Outcomes{Served: outcomes.Served, Failed: min(outcomes.Failed, maxFailedPerReport)}
}

// addOutcomes adds outcomes to a sum or subtracts them.
func addOutcomes(sum, outcomes peer.Outcomes, change sign) peer.Outcomes {
	return peer.Outcomes{
		Served: sum.Served + float64(change)*outcomes.Served,
		Failed: sum.Failed + float64(change)*outcomes.Failed,
	}
}

// addLoad adds a data plane's load to a sum or subtracts it.
func addLoad(sum, load peer.ReplicaLoad, change sign) peer.ReplicaLoad {
	sum.Running += int(change) * load.Running
	sum.Tokens += float64(change) * load.Tokens
	sum.PrefillTokens += float64(change) * load.PrefillTokens
	sum.Outcomes = addOutcomes(sum.Outcomes, cappedOutcomes(load.Outcomes), change)
	return sum
}

// roundedLoad rounds a sum. Outcomes are included only if there were failures.
func roundedLoad(sum peer.ReplicaLoad, sameZone peer.Outcomes) peer.ReplicaLoad {
	rounded := peer.ReplicaLoad{
		Running:       sum.Running,
		Tokens:        math.Round(sum.Tokens),
		PrefillTokens: math.Round(sum.PrefillTokens),
	}
	if outcomes := roundedOutcomes(sum.Outcomes); outcomes.Failed > 0 {
		rounded.Outcomes = outcomes
		rounded.ZoneServed = roundToTenth(sameZone.Served)
		rounded.ZoneFailed = roundToTenth(sameZone.Failed)
	}
	return rounded
}

func roundedOutcomes(outcomes peer.Outcomes) peer.Outcomes {
	return peer.Outcomes{Served: roundToTenth(outcomes.Served), Failed: roundToTenth(outcomes.Failed)}
}

func roundToTenth(value float64) float64 { return math.Round(value*10) / 10 }
