package simulation

import (
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/lease"
	"ferryspar/internal/placement"
)

const (
	planInterval   = 100 * time.Millisecond
	cordonLeadTime = 220 * time.Millisecond
	// maxConfigurationDelay is how long a configuration takes to reach a node.
	maxConfigurationDelay = 300 * time.Millisecond
	// maxThawDelay is how long a goroutine may wait for a processor after a freeze.
	maxThawDelay = 600 * time.Millisecond
)

// node is a simulated control-plane node that places models while it holds the lease.
type node struct {
	world                 *world
	name                  string
	incarnation           int
	alive                 bool
	frozen                bool
	freezeAfterDecision   time.Duration // freeze for this long right after the next decision
	deferred              []func()
	storePartitionedUntil time.Time
	started               time.Time
	leaseHolderSeenAt     time.Time
	leaseManager          *lease.Manager
	currentGrant          *lease.Grant
	trackedGrant          *lease.Grant
	settledFence          uint64 // fence of the grant whose record was written to since it took effect
	table                 *configuration.Table
	sizes                 *placement.SizeHistory
	tracked               map[string]*trackedReplica
	calls                 []*call
}

// after has this incarnation of the node run something later: not before its thaw if it is frozen then.
func (n *node) after(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.world.after(delay, func() {
		switch {
		case !n.alive || n.incarnation != incarnation:
		case n.frozen:
			n.deferred = append(n.deferred, run)
		default:
			run()
		}
	})
}

func (n *node) start() {
	if n.alive {
		return
	}
	n.incarnation++
	n.alive, n.frozen, n.deferred = true, false, nil
	n.started, n.leaseHolderSeenAt = n.world.now, time.Time{}
	n.leaseManager, n.currentGrant, n.trackedGrant, n.settledFence = n.newLeaseManager(), nil, nil, 0
	n.tracked, n.calls = map[string]*trackedReplica{}, nil
	n.table = n.world.table
	n.after(n.world.between(0, maxStartDelay), n.keepLease)
	n.after(n.world.between(0, planInterval), n.planLoop)
}

func (n *node) kill() {
	n.alive = false
	for _, sent := range n.calls {
		if !sent.ended {
			sent.ended, sent.endedAt = true, n.world.now
		}
	}
}

func (n *node) freeze(duration time.Duration) {
	if n.frozen || !n.alive {
		return
	}
	n.frozen = true
	incarnation := n.incarnation
	n.world.after(duration, func() {
		if n.incarnation == incarnation && n.alive {
			n.thaw()
		}
	})
}

// thaw runs what was due meanwhile, some of it a little later.
func (n *node) thaw() {
	n.frozen = false
	due := n.deferred
	n.deferred = nil
	for _, run := range due {
		delay := time.Duration(0)
		if n.world.random.IntN(4) == 0 {
			delay = n.world.between(0, maxThawDelay)
		}
		n.after(delay, run)
	}
}

// adoptConfiguration puts a configuration into force once it is delivered, unless a newer one was.
func (n *node) adoptConfiguration(table *configuration.Table) {
	n.after(n.world.between(0, maxConfigurationDelay), func() {
		if table.Configuration.Revision > n.table.Configuration.Revision {
			n.table = table
		}
	})
}

// planLoop is one turn of the planning loop.
func (n *node) planLoop() {
	n.after(planInterval, n.planLoop)
	n.adoptGrant()
	if n.currentGrant.Allows(n.world.now, orderLeaseMargin) {
		n.syncOnce()
	}
}

// adoptGrant forgets what was learned under another grant. While the lease is not held nothing is forgotten.
func (n *node) adoptGrant() {
	if n.currentGrant == nil || !n.world.now.Before(n.currentGrant.ExpiresAt) {
		return
	}
	same := n.trackedGrant.SameAs(n.currentGrant)
	n.trackedGrant = n.currentGrant
	if same {
		return
	}
	n.sizes = placement.NewSizeHistory()
	if n.world.mutation != keptAcrossGrants {
		n.tracked = map[string]*trackedReplica{}
	}
}

func (n *node) syncOnce() {
	n.adoptReplicaList()
	for _, replica := range n.trackedInOrder() {
		if replica.state.PollDue(n.world.now) {
			n.poll(replica)
		}
	}
	n.plan()
}

// adoptReplicaList tracks the replicas of the platform's list.
func (n *node) adoptReplicaList() {
	listed := map[string]bool{}
	for _, server := range n.world.servers {
		id, loaded := server.listed()
		listed[id] = true
		if n.tracked[id] == nil {
			n.tracked[id] = n.track(id, server, loaded)
		}
		n.tracked[id].recheckContradicted(loaded)
	}
	for id := range n.tracked {
		if !listed[id] {
			delete(n.tracked, id)
		}
	}
}

// trackedInOrder returns the tracked replicas in the order of their servers.
func (n *node) trackedInOrder() []*trackedReplica {
	var ordered []*trackedReplica
	for _, server := range n.world.servers {
		id, _ := server.listed()
		ordered = append(ordered, n.tracked[id])
	}
	return ordered
}

func (n *node) plan() {
	view := n.world.view(n)
	for _, replica := range n.trackedInOrder() {
		if replica.pendingAction != nil && replica.pendingAction.Load {
			view.Loading[placement.ModelKey(backendName, replica.pendingAction.Model)]++
		}
		view.Servers = append(view.Servers, &placement.Server{
			ID:          replica.id,
			Backend:     backendName,
			Zone:        "north",
			Loaded:      replica.state.CertainlyLoaded(),
			MaybeLoaded: replica.state.PossiblyLoaded(),
			OnDisk:      replica.server.disk,
			Intent:      replica.intent,
			Ready:       replica.state.IsReady(n.world.now),
		})
	}
	for _, action := range placement.Plan(view) {
		n.tracked[action.Server].order(action)
	}
	for _, server := range view.Servers {
		n.tracked[server.ID].intent = server.Intent
	}
}
