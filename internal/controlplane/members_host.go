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
	// reliableCountDelay is how long after its start a node does not report the number of data planes.
	reliableCountDelay = 2500 * time.Millisecond
	// earlyCountDelay is how long after its start a node does not report the number of data planes that it has heard of. All
	// running data planes send it a watch request within that time.
	earlyCountDelay = time.Second
)

// newMembers returns the manager of the node's membership in the control plane.
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

// membersHost implements members.Host.
type membersHost struct {
	node *Node
}

// IsConfirmed reports whether a majority recently confirmed the node's state.
func (h membersHost) IsConfirmed(now time.Time) bool { return h.node.publisher.Current().IsFresh(now) }

// HeartbeatsSent publishes the list of control planes and the number of data planes.
func (h membersHost) HeartbeatsSent(others []string) {
	n := h.node
	now := n.clock()
	count, neighbours := n.dataPlanes.CountWithNeighbours(now)
	count = max(count, 1)
	early, uptime := count, now.Sub(n.startedAt)
	if uptime < earlyCountDelay {
		early = 0
	}
	if uptime < reliableCountDelay {
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

// MemberLeaving makes this node try to acquire the placement lease without delay if the leaving node holds it.
func (h membersHost) MemberLeaving(address string) {
	if address == h.node.publisher.Current().LeaseHolder {
		h.node.scheduler.Lease().RecordHolderShutdown()
	}
}

// MembershipCommitted applies a membership change at this node and notifies the other control planes.
func (h membersHost) MembershipCommitted(register keystore.Register) {
	h.node.publishCommitted(register)
}
