package routing

import (
	"maps"
	"slices"
	"time"

	"ferryspar/internal/peer"
)

// The copies made in this file share no mutable state with the originals, so that a forecast can use them
// while the matcher runs on.

// fork copies the ledger without the tree of entries by age, which only a ledger that is written to needs. Of
// the samples it copies the decided requests only, since others may still change.
func (l *PrefixLedger) fork() *PrefixLedger {
	fork := &PrefixLedger{
		limit:       l.limit,
		ttl:         l.ttl,
		sequence:    l.sequence,
		forgetRules: l.forgetRules,
		entries:     make(map[ledgerKey]*ledgerEntry, len(l.entries)),
	}
	backing := make([]ledgerEntry, 0, len(l.entries))
	for key, entry := range l.entries {
		backing = append(backing, *entry)
		fork.entries[key] = &backing[len(backing)-1]
	}
	fork.samples.routes = make(map[string]*sampleRing, len(l.samples.routes))
	for route, ring := range l.samples.routes {
		decided := &sampleRing{}
		ring.each(func(request *Request) {
			if request.decided {
				decided.requests = append(decided.requests, request.clone())
			}
		})
		fork.samples.routes[route] = decided
	}
	return fork
}

// forkOrdered copies the ledger with the tree of entries by age.
func (l *PrefixLedger) forkOrdered() *PrefixLedger {
	fork := l.fork()
	fork.byAge = NewPrefixLedger(0, 0).byAge
	for _, entry := range fork.entries {
		fork.byAge.ReplaceOrInsert(entry)
	}
	return fork
}

// clone copies a request without the state of its attempts and its drill.
func (r *Request) clone() *Request {
	clone := *r
	clone.ExcludedReplicas = nil
	clone.CompletedPrefill = nil
	clone.Decided = nil
	clone.modelNotLoaded = false
	clone.drill = nil
	clone.underDrill = false
	clone.onlyCopyLost = false
	clone.hostsIndex = nil
	clone.hosts = nil
	clone.prefillHosts = nil
	return &clone
}

// fork copies the state. Tickets are shared, since a forecast only reads them.
func (s *replicaState) fork() *replicaState {
	fork := *s
	predictor := *s.predictor
	fork.predictor = &predictor
	fork.recentSends = append([]time.Time(nil), s.recentSends...)
	fork.awaitingFirst = maps.Clone(s.awaitingFirst)
	fork.inFlight = maps.Clone(s.inFlight)
	fork.missingUntil = maps.Clone(s.missingUntil)
	fork.unfetched.orphaned = slices.Clone(s.unfetched.orphaned)
	return &fork
}

// fork copies the states. The copy watches no replicas, since it makes no load reports.
func (t *replicaTable) fork() replicaTable {
	fork := replicaTable{
		nodeName: t.nodeName,
		states:   make(map[string]*replicaState, len(t.states)),
		watched:  map[string]*replicaState{},
	}
	for id, state := range t.states {
		fork.states[id] = state.fork()
	}
	return fork
}

// fork copies the requests, without the times at which they must be tried.
func (q *waitQueue) fork() waitQueue {
	var fork waitQueue
	for _, request := range q.requests {
		fork.requests = append(fork.requests, request.clone())
	}
	return fork
}

// fork copies the counters that decisions change.
func (c *demandCounters) fork() demandCounters {
	return demandCounters{
		running:   maps.Clone(c.running),
		prefillMs: maps.Clone(c.prefillMs),
	}
}

// fork copies the records, without the breakers by address and the cache of ejected replicas.
func (h *health) fork() *health {
	fork := newHealth()
	fork.totalOutcomes = h.totalOutcomes
	fork.breakersNotClosed = h.breakersNotClosed
	fork.reviewedAt = h.reviewedAt
	fork.zoneSuspectedUntil = maps.Clone(h.zoneSuspectedUntil)
	fork.firstListed = maps.Clone(h.firstListed)
	for id, counter := range h.outcomes {
		forkedCounter := *counter
		fork.outcomes[id] = &forkedCounter
	}
	for id, replicaBreaker := range h.breakers {
		forkedBreaker := *replicaBreaker
		fork.breakers[id] = &forkedBreaker
	}
	return fork
}

// fork copies the matcher, with the given ledger and a clock stopped at now. The copy has no channels: it can
// only make decisions.
func (m *Matcher) fork(now time.Time, ledger *PrefixLedger) *Matcher {
	fork := &Matcher{
		parameters:     m.parameters,
		zone:           m.zone,
		clock:          func() time.Time { return now },
		queue:          m.queue.fork(),
		replicas:       m.replicas.fork(),
		health:         m.health.fork(),
		ledger:         ledger,
		prefillFactors: maps.Clone(m.prefillFactors),
		models:         m.models.fork(),
		demand:         m.demand.fork(),
		answers:        m.answers.fork(),
		missing:        missingModels{},
		LedgerTrusted:  m.LedgerTrusted,
	}
	fork.useSnapshot(m.snapshot, m.index)
	return fork
}

// useSnapshot switches to a snapshot and its index unconditionally.
func (m *Matcher) useSnapshot(snapshot *Snapshot, index *Index) {
	m.snapshot = snapshot
	m.index = index
	m.replicas.resetPositions(len(index.replicas))
	m.graph.resize(len(index.replicas))
}

// without returns the snapshot after a loss, and the lost replicas by id. The other data planes' load at the
// lost replicas is distributed over the remaining replicas of the backend in proportion to their slots.
func (s *Snapshot) without(isLost ZoneFilter) (*Snapshot, map[string]*Replica) {
	rest := *s
	rest.Replicas = nil
	rest.Index = nil
	rest.PeerLoads = maps.Clone(s.PeerLoads)
	if rest.PeerLoads == nil {
		rest.PeerLoads = map[string]peer.ReplicaLoad{}
	}
	lost := map[string]*Replica{}
	slots := map[string]float64{} // left, by backend
	for _, replica := range s.Replicas {
		if isLost(replica.Zone, replica.Region) {
			lost[replica.ID] = replica
			continue
		}
		rest.Replicas = append(rest.Replicas, replica)
		slots[replica.Backend] += float64(replica.Slots)
	}
	moving := map[string]peer.ReplicaLoad{} // by backend
	for id, replica := range lost {
		moving[replica.Backend] = addLoad(moving[replica.Backend], s.PeerLoads[id], 1)
	}
	for _, replica := range rest.Replicas {
		sum := moving[replica.Backend]
		if sum == (peer.ReplicaLoad{}) {
			continue
		}
		share := float64(replica.Slots) / max(slots[replica.Backend], 1)
		rest.PeerLoads[replica.ID] = addLoad(rest.PeerLoads[replica.ID], sum, share)
	}
	return &rest, lost
}

// addLoad returns a load plus a share of another, with running requests rounded to the nearest integer.
func addLoad(load, other peer.ReplicaLoad, share float64) peer.ReplicaLoad {
	load.Running += int(share*float64(other.Running) + 0.5)
	load.Tokens += share * other.Tokens
	load.PrefillTokens += share * other.PrefillTokens
	return load
}
