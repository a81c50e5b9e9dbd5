package controlplane

import (
	"time"

	"ferryspar/internal/controlplane/dataplanes"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/peer"
)

// watchHost implements the node's side of its watch.Server.
type watchHost struct {
	node *Node
}

func (n *Node) newWatchServer() *watch.Server {
	identity := watch.Identity{Member: n.self, Zone: n.settings.Zone, Incarnation: n.incarnation}
	return watch.NewServer(identity, watchHost{n}, n.publisher, n.endpoints, n.clock)
}

// RecordWatch records what a data plane reports in a watch request. A data plane whose primary is another control plane reports
// its load there, so its last load report at this node is dropped.
func (h watchHost) RecordWatch(request peer.WatchRequest, receivedAt time.Time) {
	h.node.dataPlanes.RecordWatch(request, receivedAt)
	if request.Drill != nil {
		h.node.drills.RecordReport(request.DataPlane, *request.Drill)
	}
	if !request.Primary {
		h.node.loads.RemoveReport(request.DataPlane)
	}
}

// CountedFor returns for how long the data plane has been counted without interruption, and false if it is not counted.
func (h watchHost) CountedFor(dataPlane string, now time.Time) (time.Duration, bool) {
	return h.node.dataPlanes.CountedFor(dataPlane, now)
}

// CountReliable reports whether the node has run for longer than a data plane is counted after it was last heard of.
func (h watchHost) CountReliable(now time.Time) bool {
	return now.Sub(h.node.startedAt) > dataplanes.ExpireAfter
}

// LiveDataPlanesKnown reports whether the node has run for longer than the window within which live data planes send watch requests.
func (h watchHost) LiveDataPlanesKnown(now time.Time) bool {
	return now.Sub(h.node.startedAt) > dataplanes.LiveWindow
}

// RequestConfirmation requests a confirmation round that starts after the call.
func (h watchHost) RequestConfirmation() { h.node.applier.RequestConfirmation() }

// ReplicaLoadsFor returns the load of all data planes except the named one on the given replicas, by replica ID.
func (h watchHost) ReplicaLoadsFor(dataPlane string, replicas []string) map[string]peer.ReplicaLoad {
	return h.node.loads.FleetLoadFor(dataPlane, replicas).Replicas
}

// IsLeaving reports whether the node is leaving.
func (h watchHost) IsLeaving() bool { return h.node.members.IsLeaving() }
