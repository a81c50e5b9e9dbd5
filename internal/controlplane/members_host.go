package controlplane

import (
	"slices"
	"time"

	"ferryspar/internal/controlplane/members"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

const (
	// dataPlaneCountDelay is how long a node that has just started does not say how many data planes
	// there are.
	dataPlaneCountDelay = 2500 * time.Millisecond
	// earlyDataPlaneCountDelay is how long it does not say how many it has heard of: all that run send
	// it a watch request within that time.
	earlyDataPlaneCountDelay = time.Second
)

// newMembers returns the manager of the node's part in the control plane.
func (n *Node) newMembers() *members.Manager {
	config := members.Config{
		Self:           n.self,
		NodeName:       n.settings.NodeName,
		Zone:           n.settings.Zone,
		Seeds:          n.settings.SeedPeers(),
		DesiredMembers: 2*n.settings.FaultTolerance.MachineLoss + 1,
		Clock:          n.clock,
		StartedAt:      n.startedAt,
		TimeOfDay:      n.timeOfDay,
	}
	return members.NewManager(config, n.store, n.acceptor, n.peers, n.dataPlanes, membersHost{n})
}

// membersHost is a node as its members.Manager sees it.
type membersHost struct {
	node *Node
}

// IsConfirmed tells whether a majority confirmed the node's state lately.
func (h membersHost) IsConfirmed(now time.Time) bool { return h.node.publisher.Current().IsFresh(now) }

// HeartbeatsSent publishes which control planes there are, and how many data planes.
func (h membersHost) HeartbeatsSent(others []string) {
	n := h.node
	now := n.clock()
	count, neighbours := n.dataPlanes.Count(now)
	count = max(count, 1)
	early, uptime := count, now.Sub(n.startedAt)
	if uptime < earlyDataPlaneCountDelay {
		early = 0
	}
	if uptime < dataPlaneCountDelay {
		count = 0
	}
	controlPlanes := append(others, n.self)
	slices.Sort(controlPlanes)
	update := func(next *watch.Snapshot) {
		next.DataPlaneCount = count
		next.EarlyDataPlaneCount = early
		next.ControlPlanes = controlPlanes
		next.ControlPlanesVersion = peer.Digest(controlPlanes)
		next.Neighbours = neighbours
	}
	isFirstCount := early > 0 && n.publisher.Current().EarlyDataPlaneCount == 0
	if isFirstCount {
		n.publisher.Update(func(next *watch.Snapshot) bool {
			update(next)
			return true
		})
		return
	}
	n.publisher.UpdateWithoutNotify(update)
}

// MemberLeaving makes the placement lease worth trying for at once if its holder is about to end.
func (h membersHost) MemberLeaving(address string) {
	if address == h.node.publisher.Current().LeaseHolder {
		h.node.scheduler.Lease().ForgetHolder()
	}
}

// MembershipCommitted applies a change here and notifies the other control planes of it.
func (h membersHost) MembershipCommitted(register keystore.Register) {
	h.node.publishCommitted(register)
}
