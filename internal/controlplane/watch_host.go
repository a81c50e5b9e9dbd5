package controlplane

import (
	"time"

	"ferryspar/internal/controlplane/dataplanes"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/peer"
)

// watchHost is a node as its watch.Server sees it.
type watchHost struct {
	node *Node
}

func (n *Node) newWatchServer() *watch.Server {
	identity := watch.Identity{Member: n.self, Zone: n.settings.Zone, Incarnation: n.incarnation}
	return watch.NewServer(identity, watchHost{n}, n.publisher, n.endpoints, n.clock)
}

// RecordWatch takes in what a data plane says of itself. One whose primary is another control plane reports its load
// there, so its last report here no longer counts.
func (h watchHost) RecordWatch(request peer.WatchRequest, receivedAt time.Time) {
	h.node.dataPlanes.RecordWatch(request, receivedAt)
	if request.Drill != nil {
		h.node.drills.RecordReport(request.DataPlane, *request.Drill)
	}
	if !request.Primary {
		h.node.loads.RemoveReport(request.DataPlane)
	}
}

// CountedFor returns for how long the data plane has been counted among the live ones, and false if it isn't counted.
func (h watchHost) CountedFor(dataPlane string, now time.Time) (time.Duration, bool) {
	return h.node.dataPlanes.CountedFor(dataPlane, now)
}

// CountReliable says whether the node has run for longer than a silent data plane counts.
func (h watchHost) CountReliable(now time.Time) bool {
	return now.Sub(h.node.startedAt) > dataplanes.ExpireAfter
}

// LiveDataPlanesKnown says whether the node has run for longer than a live data plane may be silent.
func (h watchHost) LiveDataPlanesKnown(now time.Time) bool {
	return now.Sub(h.node.startedAt) > dataplanes.LiveWindow
}

// RequestConfirmation has the state confirmed in a round that begins after the call.
func (h watchHost) RequestConfirmation() { h.node.applier.RequestConfirmation() }

// ReplicaLoadsFor returns the load of all data planes but the named one on replicas, by id.
func (h watchHost) ReplicaLoadsFor(dataPlane string, replicas []string) map[string]peer.ReplicaLoad {
	return h.node.loads.FleetLoadFor(dataPlane, replicas).Replicas
}

// IsLeaving says whether the node shuts down.
func (h watchHost) IsLeaving() bool { return h.node.members.IsLeaving() }
