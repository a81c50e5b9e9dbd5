package routing

import (
	"time"

	"ferryspar/internal/peer"
)

const (
	// A zone is suspected if at least minFailingReplicas of its replicas, and at least minFailingShare of them,
	// have failures, and this share is more than failingShareFactor times that of the other zones.
	minFailingReplicas = 3
	minFailingShare    = 1.0 / 3
	failingShareFactor = 3.0
	// zoneSuspicionTime is how long a zone stays suspected.
	zoneSuspicionTime = time.Second
)

// zoneCount counts a zone's replicas, and those of them with failures seen from this data plane's zone.
type zoneCount struct {
	replicas, failing float64
}

// suspectedZones returns the zones whose replicas fail far more often than those of all other zones.
func suspectedZones(counts map[string]zoneCount) []string {
	var suspected []string
	for zone, here := range counts {
		elsewhere := zoneCount{}
		for other, count := range counts {
			if other != zone {
				elsewhere.replicas += count.replicas
				elsewhere.failing += count.failing
			}
		}
		if elsewhere.replicas == 0 || here.failing < minFailingReplicas || here.failing < minFailingShare*here.replicas {
			continue
		}
		if here.failing/here.replicas > failingShareFactor*elsewhere.failing/elsewhere.replicas {
			suspected = append(suspected, zone)
		}
	}
	return suspected
}

// zoneOutcomes returns a replica's outcomes at the data planes of this data plane's zone.
func (h *health) zoneOutcomes(snapshot *Snapshot, id string, now time.Time) peer.Outcomes {
	load := snapshot.recentPeerLoad(id, now)
	outcomes := peer.Outcomes{Served: load.ZoneServed, Failed: load.ZoneFailed}
	if own := h.outcomes[id]; own != nil {
		outcomes = addOutcomes(outcomes, own.Outcomes)
	}
	return outcomes
}

// reviewZones starts suspicions of zones; a suspicion in force is not extended.
func (h *health) reviewZones(snapshot *Snapshot, now time.Time) {
	counts := map[string]zoneCount{}
	for _, replica := range snapshot.Replicas {
		count := counts[replica.Zone]
		count.replicas++
		if h.zoneOutcomes(snapshot, replica.ID, now).Failed >= relapseFailures {
			count.failing++
		}
		counts[replica.Zone] = count
	}
	for _, zone := range suspectedZones(counts) {
		if !now.Before(h.zoneSuspectedUntil[zone]) {
			h.zoneSuspectedUntil[zone] = now.Add(zoneSuspicionTime)
		}
	}
}

// suspectsZoneOf reports whether a replica must be ejected because its zone is suspected, which does not apply
// to replicas that were first listed after the suspicion began.
func (h *health) suspectsZoneOf(replica *Replica, now time.Time) bool {
	first, known := h.firstListed[replica.ID]
	if !known {
		first = now
		h.firstListed[replica.ID] = now
	}
	until := h.zoneSuspectedUntil[replica.Zone]
	return now.Before(until) && first.Before(until.Add(-zoneSuspicionTime))
}
