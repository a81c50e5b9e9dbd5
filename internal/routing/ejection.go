package routing

import (
	"cmp"
	"slices"
	"time"

	"ferryspar/internal/discovery"
)

const (
	// A replica that fails more than certainFailureRate of its requests, with more than certainEvidence, may be
	// ejected even if more than half of the hosts are.
	certainFailureRate = 0.8
	certainEvidence    = 2 * openThreshold
)

// breakerAdmits reports whether a replica's breaker admits the request. A half-open breaker admits one
// request at a time, over all data planes; while probing, only idempotent ones.
func (m *Matcher) breakerAdmits(request *Request, replica *Replica, now time.Time) bool {
	if m.health.breakersNotClosed == 0 {
		return true
	}
	replicaBreaker := m.health.breakers[replica.ID]
	if replicaBreaker == nil || replicaBreaker.state == breakerClosed {
		return true
	}
	if !m.ejectableReplicas(request, replica.Phase, now)[replica.ID] {
		return true
	}
	isIdle := m.replicas.state(replica.ID).running+m.snapshot.PeerLoads[replica.ID].Running == 0
	switch replicaBreaker.state {
	case breakerRecovering:
		return isIdle
	case breakerProbing:
		return isIdle && request.Idempotent
	default:
		return false
	}
}

// ejectionKey identifies a group of replicas of which at most a share may be ejected.
type ejectionKey struct {
	modelKey
	prefill bool
}

// ejectableReplicas returns the replicas that may be withheld from a request. Among the hosts of its model, or
// among the prefill replicas for it, these are the replicas whose breaker is not closed, those with the most
// evidence first: at most half of the group, or more if nearly all their requests fail, but never all of it.
func (m *Matcher) ejectableReplicas(request *Request, phase discovery.Phase, now time.Time) map[string]bool {
	key := ejectionKey{modelKey: request.modelKey(), prefill: phase == discovery.PhasePrefill}
	candidates := request.hostsIn(m.index)
	if key.prefill {
		candidates = request.prefillHostsIn(m.index)
	}
	isCacheable := len(request.AllowedRegions) == 0
	if ejected, known := m.health.ejected[key]; known && isCacheable {
		return ejected
	}
	var flagged []*Replica
	hosts, certain := 0, 0
	for _, position := range candidates {
		replica := m.index.replicas[position]
		if !replica.accepts(request) || m.snapshot.DrainedZones[replica.Zone] {
			continue
		}
		hosts++
		replicaBreaker := m.health.breakers[replica.ID]
		if replicaBreaker == nil || replicaBreaker.state == breakerClosed {
			continue
		}
		flagged = append(flagged, replica)
		seen := m.health.allOutcomes(m.snapshot, replica.ID, now)
		if seen.Failed > certainFailureRate*(seen.Failed+seen.Served) && replicaBreaker.evidence > certainEvidence {
			certain++
		}
	}
	slices.SortStableFunc(flagged, func(left, right *Replica) int {
		return cmp.Compare(m.health.breakers[right.ID].evidence, m.health.breakers[left.ID].evidence)
	})
	limit := max(hosts/2, min(certain, hosts-1))
	ejected := map[string]bool{}
	for _, replica := range flagged[:min(len(flagged), limit)] {
		ejected[replica.ID] = true
	}
	if isCacheable {
		m.health.ejected[key] = ejected
	}
	return ejected
}
