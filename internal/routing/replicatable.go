package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/apportion"
	"ferryspar/internal/peer"
)

// unlistedTTL is how long the state of a replica is kept after snapshots omit it. A list may omit a replica
// temporarily; its running requests still count when it is listed again.
const unlistedTTL = 5 * time.Second

// replicaTable holds the states of all replicas that this data plane has sent requests to or listed.
type replicaTable struct {
	nodeName   string                   // this data plane's, hashed for its shares
	states     map[string]*replicaState // by replica id
	byPosition []*replicaState          // the same by position in the index, filled on demand
	watched    map[string]*replicaState // by replica id, those included in load reports
	unlisted   int                      // number of states of replicas that the snapshot omits
}

func newReplicaTable(nodeName string) replicaTable {
	return replicaTable{
		nodeName: nodeName,
		states:   map[string]*replicaState{},
		watched:  map[string]*replicaState{},
	}
}

// state returns the state of a replica, creating it if necessary.
func (t *replicaTable) state(id string) *replicaState {
	if t.states[id] == nil {
		state := newReplicaState(NewPredictor())
		state.hashFraction = apportion.HashFraction(t.nodeName, id)
		state.idHash = xxhash.Sum64String(id)
		t.states[id] = state
	}
	return t.states[id]
}

// watch returns the state of a replica and includes the replica in load reports from now on.
func (t *replicaTable) watch(id string) *replicaState {
	state := t.state(id)
	t.watched[id] = state
	return state
}

// at returns the state of the replica at a position of the index.
func (t *replicaTable) at(index *Index, position int) *replicaState {
	if t.byPosition[position] == nil {
		t.byPosition[position] = t.state(index.replicas[position].ID)
	}
	return t.byPosition[position]
}

// resetPositions prepares the table for an index of the given number of replicas.
func (t *replicaTable) resetPositions(replicas int) {
	t.byPosition = slices.Grow(t.byPosition[:0], replicas)[:replicas]
	clear(t.byPosition)
}

// dropUnlisted drops the states of replicas that have not been in the index for unlistedTTL and run no request
// of this data plane. It returns the replicas that became unlisted since the last call.
func (t *replicaTable) dropUnlisted(index *Index, now time.Time) map[string]bool {
	var removed map[string]bool
	t.unlisted = 0
	for id, state := range t.states {
		if index.contains(id) {
			state.unlistedAt = time.Time{}
			continue
		}
		t.unlisted++
		if state.running > 0 {
			continue
		}
		if state.unlistedAt.IsZero() {
			state.unlistedAt = now
			if removed == nil {
				removed = map[string]bool{}
			}
			removed[id] = true
		}
		if now.Sub(state.unlistedAt) >= unlistedTTL {
			t.unlisted--
			delete(t.states, id)
			delete(t.watched, id)
		}
	}
	return removed
}

// collect returns the load, by replica id, of all watched replicas that are listed. It stops watching replicas
// with nothing left to report.
func (t *replicaTable) collect(index *Index, health *health, now time.Time) map[string]peer.ReplicaLoad {
	loads := map[string]peer.ReplicaLoad{}
	for id, state := range t.watched {
		isListed := index.contains(id)
		suspect := state.isSuspected(now)
		outcomes := health.reported(id, now)
		isQuiet := !suspect && outcomes == peer.Outcomes{}
		if state.running == 0 && (isQuiet || !isListed) {
			delete(t.watched, id)
		} else if isListed {
			loads[id] = peer.ReplicaLoad{
				Running:       state.running,
				Tokens:        state.tokens,
				PrefillTokens: state.pendingTokens,
				Suspected:     suspect,
				Outcomes:      outcomes,
			}
		}
	}
	return loads
}
