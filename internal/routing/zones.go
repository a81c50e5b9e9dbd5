package routing

import (
	"time"

	"ferryspar/internal/peer"
)

const (
	// A zone is doubted if minFailingReplicas of its replicas and minFailingShare of them have failures, and
	// that is failingShareFactor times the share elsewhere.
	minFailingReplicas = 3
	minFailingShare    = 1.0 / 3
	failingShareFactor = 3.0
	// zoneSuspicionTime is how long a zone stays doubted.
	zoneSuspicionTime = time.Second
)

// zoneCount counts a zone's replicas, and those of them with failures seen from the own zone.
type zoneCount struct {
	replicas, failing float64
}

// suspectedZones are the zones whose replicas fail far more than those of all others.
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

// near is a replica's record with the callers of the own zone.
func (m *Matcher) zoneOutcomes(id string, now time.Time) peer.Outcomes {
	others := m.peerLoad(id, now)
	near := peer.Outcomes{Served: others.ZoneServed, Failed: others.ZoneFailed}
	if own := m.health.outcomes[id]; own != nil {
		near = addOutcomes(near, own.Outcomes)
	}
	return near
}

// reviewZones begins to doubt zones; a doubt in force is not extended.
func (m *Matcher) reviewZones(now time.Time) {
	counts := map[string]zoneCount{}
	for _, replica := range m.snapshot.Replicas {
		count := counts[replica.Zone]
		count.replicas++
		if m.zoneOutcomes(replica.ID, now).Failed >= relapseFailures {
			count.failing++
		}
		counts[replica.Zone] = count
	}
	for _, zone := range suspectedZones(counts) {
		if !now.Before(m.health.zoneSuspectedUntil[zone]) {
			m.health.zoneSuspectedUntil[zone] = now.Add(zoneSuspicionTime)
		}
	}
}

// doubts reports whether a replica is left out for its zone: it was listed before the doubt began.
func (h *health) suspectsZoneOf(replica *Replica, now time.Time) bool {
	first, known := h.firstListed[replica.ID]
	if !known {
		first = now
		h.firstListed[replica.ID] = now
	}
	until := h.zoneSuspectedUntil[replica.Zone]
	return now.Before(until) && first.Before(until.Add(-zoneSuspicionTime))
}
