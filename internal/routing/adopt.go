package routing

import (
	"slices"
	"time"

	"ferryspar/internal/apportion"
)

// adopt takes the newest snapshot into use. States of replicas outlive it; those of replicas that
// left are dropped after a while.
func (m *Matcher) useLatestSnapshot() {
	loaded := m.latest.Load()
	if loaded == m.snapshot {
		return
	}
	m.snapshot = loaded
	index := loaded.Index
	if index == nil && m.index.isFor(loaded.Replicas) {
		index = m.index
	}
	if index == nil {
		index = NewIndex(loaded.Replicas)
	}
	if index == m.index {
		return
	}
	m.index = index
	m.stateByPosition = slices.Grow(m.stateByPosition[:0], len(index.replicas))[:len(index.replicas)]
	clear(m.stateByPosition)
	m.graph.resize(len(index.replicas))
	m.dropUnlisted()
}

// stateAt is the state of the replica at a position of the index.
func (m *Matcher) stateAt(position int) *replicaState {
	if m.stateByPosition[position] == nil {
		m.stateByPosition[position] = m.state(m.index.replicas[position].ID)
	}
	return m.stateByPosition[position]
}

// watchState is the state of a replica, which from now on is in the load reports.
func (m *Matcher) watchState(id string) *replicaState {
	state := m.state(id)
	m.watched[id] = state
	return state
}

// state is the state of a replica, made where there is none yet.
func (m *Matcher) state(id string) *replicaState {
	if m.states[id] == nil {
		state := newReplicaState(NewPredictor())
		state.hashFraction = apportion.HashFraction(m.parameters.Daemon, id)
		m.states[id] = state
	}
	return m.states[id]
}

// unlistedTTL is how long what is known of a replica is kept after the snapshot has left it out. A
// list may leave one out for a moment; what was sent to it meanwhile still counts when it is back.
const unlistedTTL = 5 * time.Second

// dropUnlisted drops the ledger's entries of replicas that are no longer listed and run nothing of
// ours, and after unlistedTTL their states and health records. With an empty list nothing is dropped.
func (m *Matcher) dropUnlisted() {
	if len(m.index.replicas) == 0 {
		return
	}
	now := m.clock()
	removed := map[string]bool{}
	m.unlisted = 0
	for id, state := range m.states {
		if _, listed := m.index.positions[id]; listed {
			state.unlistedAt = time.Time{}
			continue
		}
		m.unlisted++
		if state.running > 0 {
			continue
		}
		if state.unlistedAt.IsZero() {
			state.unlistedAt = now
			removed[id] = true
		}
		if now.Sub(state.unlistedAt) >= unlistedTTL {
			m.unlisted--
			delete(m.states, id)
			delete(m.watched, id)
		}
	}
	if len(removed) > 0 {
		m.ledger.DropReplicas(removed)
	}
	m.forgetUnlisted()
}
