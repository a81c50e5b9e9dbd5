package routing

import (
	"maps"
	"time"

	"ferryspar/internal/peer"
)

// The copies of this file share nothing that either side changes, so that a forecast can decide on
// them while the matcher goes on.

// fork copies the ledger without the sequence of ages, which only a ledger that is written to needs.
// Of the samples it takes the requests that are decided, since others still change.
func (l *PrefixLedger) fork() *PrefixLedger {
	copied := &PrefixLedger{
		limit:    l.limit,
		ttl:      l.ttl,
		sequence: l.sequence,
		forgets:  l.forgets,
		entries:  make(map[ledgerKey]*ledgerEntry, len(l.entries)),
	}
	backing := make([]ledgerEntry, 0, len(l.entries))
	for key, entry := range l.entries {
		backing = append(backing, *entry)
		copied.entries[key] = &backing[len(backing)-1]
	}
	copied.samples.routes = make(map[string]*sampleRing, len(l.samples.routes))
	for route, ring := range l.samples.routes {
		kept := &sampleRing{}
		ring.each(func(request *Request) {
			if request.decided {
				kept.requests = append(kept.requests, request.clone())
			}
		})
		copied.samples.routes[route] = kept
	}
	return copied
}

// forkOrdered copies the ledger with the sequence of ages.
func (l *PrefixLedger) forkOrdered() *PrefixLedger {
	copied := l.fork()
	copied.byAge = NewPrefixLedger(0, 0).byAge
	for _, entry := range copied.entries {
		copied.byAge.ReplaceOrInsert(entry)
	}
	return copied
}

// clone copies a request as one that no drill picked and no replica refused yet.
func (r *Request) clone() *Request {
	copied := *r
	copied.ExcludedReplicas = nil
	copied.Decided = nil
	copied.modelNotLoaded = false
	copied.drill = nil
	copied.underDrill = false
	copied.onlyCopyLost = false
	copied.hostsIndex = nil
	copied.hosts = nil
	return &copied
}

// fork copies the state. Tickets are shared: a forecast only reads them.
func (s *replicaState) fork() *replicaState {
	copied := *s
	predictor := *s.predictor
	copied.predictor = &predictor
	copied.recentSends = append([]time.Time(nil), s.recentSends...)
	copied.awaitingFirst = maps.Clone(s.awaitingFirst)
	copied.inFlight = maps.Clone(s.inFlight)
	copied.missingUntil = maps.Clone(s.missingUntil)
	return &copied
}

// fork copies the records, without the breakers by address and what is worked out on demand.
func (h *health) fork() *health {
	copied := newHealth()
	copied.totalOutcomes = h.totalOutcomes
	copied.breakersNotClosed = h.breakersNotClosed
	copied.reviewedAt = h.reviewedAt
	copied.zoneSuspectedUntil = maps.Clone(h.zoneSuspectedUntil)
	copied.firstListed = maps.Clone(h.firstListed)
	for id, source := range h.outcomes {
		counter := *source
		copied.outcomes[id] = &counter
	}
	for id, source := range h.breakers {
		copiedBreaker := *source
		copied.breakers[id] = &copiedBreaker
	}
	return copied
}

// fork copies the matcher, with that ledger, at a standing clock. The copy has no channels: only
// decisions can be asked of it.
func (m *Matcher) fork(now time.Time, ledger *PrefixLedger) *Matcher {
	copied := &Matcher{
		parameters:    m.parameters,
		zone:          m.zone,
		clock:         func() time.Time { return now },
		states:        make(map[string]*replicaState, len(m.states)),
		watched:       map[string]*replicaState{},
		health:        m.health.fork(),
		ledger:        ledger,
		paces:         maps.Clone(m.paces),
		running:       maps.Clone(m.running),
		prefillMs:     maps.Clone(m.prefillMs),
		LedgerTrusted: m.LedgerTrusted,
	}
	for id, state := range m.states {
		copied.states[id] = state.fork()
	}
	for _, request := range m.waiting {
		copied.waiting = append(copied.waiting, request.clone())
	}
	copied.useSnapshot(m.snapshot, m.index)
	return copied
}

// useSnapshot puts a snapshot and its index into use, whatever was in use before.
func (m *Matcher) useSnapshot(fleet *Snapshot, index *Index) {
	m.snapshot = fleet
	m.index = index
	m.stateByPosition = make([]*replicaState, len(index.replicas))
	m.graph.resize(len(index.replicas))
}

// without is the snapshot after a loss, and the lost replicas by id. What the other data planes ran
// at lost replicas is spread over the others of the same backend in proportion to their slots.
func (s *Snapshot) without(affects ZoneFilter) (*Snapshot, map[string]*Replica) {
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
		if affects(replica.Zone, replica.Region) {
			lost[replica.ID] = replica
			continue
		}
		rest.Replicas = append(rest.Replicas, replica)
		slots[replica.Backend] += float64(replica.Slots)
	}
	moving := map[string]peer.ReplicaLoad{} // by backend
	for id, replica := range lost {
		sum, load := moving[replica.Backend], s.PeerLoads[id]
		sum.Running += load.Running
		sum.Tokens += load.Tokens
		sum.PrefillTokens += load.PrefillTokens
		moving[replica.Backend] = sum
	}
	for _, replica := range rest.Replicas {
		sum := moving[replica.Backend]
		if sum == (peer.ReplicaLoad{}) {
			continue
		}
		share := float64(replica.Slots) / max(slots[replica.Backend], 1)
		load := rest.PeerLoads[replica.ID]
		load.Running += int(share*float64(sum.Running) + 0.5)
		load.Tokens += share * sum.Tokens
		load.PrefillTokens += share * sum.PrefillTokens
		rest.PeerLoads[replica.ID] = load
	}
	return &rest, lost
}
