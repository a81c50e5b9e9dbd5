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
	// maxConfigurationDelay is the longest time that a configuration takes to reach a node.
	maxConfigurationDelay = 300 * time.Millisecond
	// maxThawDelay is the longest time that a goroutine waits for a processor after its process was resumed.
	maxThawDelay = 600 * time.Millisecond
)

// node is a simulated control-plane node that places models while it holds the lease.
type node struct {
	cluster               *cluster
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
	takeoverClearedFence  uint64 // fence of the last grant whose TakeoverPending was cleared
	table                 *configuration.Table
	sizes                 *placement.SizeHistory
	tracked               map[string]*trackedReplica
	calls                 []*call
}

// after runs a function in this incarnation of the node once the delay has passed, or when the node resumes if it is frozen
// at that time.
func (n *node) after(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.cluster.after(delay, func() {
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
	n.started, n.leaseHolderSeenAt = n.cluster.now, time.Time{}
	n.leaseManager, n.currentGrant, n.trackedGrant, n.takeoverClearedFence = n.newLeaseManager(), nil, nil, 0
	n.tracked, n.calls = map[string]*trackedReplica{}, nil
	n.table = n.cluster.table
	n.after(n.cluster.randomDuration(0, maxStartDelay), n.keepLease)
	n.after(n.cluster.randomDuration(0, planInterval), n.planLoop)
}

func (n *node) kill() {
	n.alive = false
	for _, sent := range n.calls {
		if !sent.ended {
			sent.ended, sent.endedAt = true, n.cluster.now
		}
	}
}

func (n *node) freeze(duration time.Duration) {
	if n.frozen || !n.alive {
		return
	}
	n.frozen = true
	incarnation := n.incarnation
	n.cluster.after(duration, func() {
		if n.incarnation == incarnation && n.alive {
			n.thaw()
		}
	})
}

// thaw runs the functions that became due during the freeze, one in four of them after a further delay.
func (n *node) thaw() {
	n.frozen = false
	due := n.deferred
	n.deferred = nil
	for _, run := range due {
		delay := time.Duration(0)
		if n.cluster.random.IntN(4) == 0 {
			delay = n.cluster.randomDuration(0, maxThawDelay)
		}
		n.after(delay, run)
	}
}

// adoptConfiguration delivers a configuration after a random delay. The node ignores it if it already has a newer one.
func (n *node) adoptConfiguration(table *configuration.Table) {
	n.after(n.cluster.randomDuration(0, maxConfigurationDelay), func() {
		if table.Configuration.Revision > n.table.Configuration.Revision {
			n.table = table
		}
	})
}

// planLoop runs one iteration of the planning loop and schedules the next.
func (n *node) planLoop() {
	n.after(planInterval, n.planLoop)
	n.adoptGrant()
	if n.currentGrant.Allows(n.cluster.now, orderLeaseMargin) {
		n.syncOnce()
	}
}

// adoptGrant discards what was learned under the previous grant when another one is held. Without a valid grant it does
// nothing.
func (n *node) adoptGrant() {
	if n.currentGrant == nil || !n.cluster.now.Before(n.currentGrant.ExpiresAt) {
		return
	}
	same := n.trackedGrant.SameAs(n.currentGrant)
	n.trackedGrant = n.currentGrant
	if same {
		return
	}
	n.sizes = placement.NewSizeHistory()
	if n.cluster.mutation != keptAcrossGrants {
		n.tracked = map[string]*trackedReplica{}
	}
}

func (n *node) syncOnce() {
	n.adoptReplicaList()
	for _, replica := range n.trackedInOrder() {
		if replica.state.PollDue(n.cluster.now) {
			n.poll(replica)
		}
	}
	n.plan()
}

// adoptReplicaList starts and stops tracking replicas according to the platform's list.
func (n *node) adoptReplicaList() {
	listed := map[string]bool{}
	for _, server := range n.cluster.servers {
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

// trackedInOrder returns the tracked replicas in the order of the cluster's servers.
func (n *node) trackedInOrder() []*trackedReplica {
	var ordered []*trackedReplica
	for _, server := range n.cluster.servers {
		id, _ := server.listed()
		ordered = append(ordered, n.tracked[id])
	}
	return ordered
}

func (n *node) plan() {
	view := n.cluster.view(n)
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
			Ready:       replica.state.IsReady(n.cluster.now),
		})
	}
	for _, action := range placement.Plan(view) {
		n.tracked[action.Server].order(action)
	}
	for _, server := range view.Servers {
		n.tracked[server.ID].intent = server.Intent
	}
}
