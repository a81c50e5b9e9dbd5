package controlplane

import (
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/heartbeat"
	"ferryspar/internal/peer"
	"ferryspar/internal/retention"
)

// watchedNode is what the watch server sees of the node. It implements watch.Node.
type watchedNode struct {
	node *Node
}

// RecordWatch takes in what a data plane says of itself. One whose primary is another control plane reports its load
// there, so its last report here no longer counts.
func (w watchedNode) RecordWatch(request peer.WatchRequest, receivedAt time.Time) {
	n := w.node
	n.watchLock.Lock()
	n.dataPlanes.Record(request.DataPlane, heartbeat.Heartbeat{
		ReportedAt:  receivedAt,
		Zone:        request.Zone,
		Revision:    request.Revision,
		ZoneChanges: request.ZoneVersion,
	})
	n.dataPlaneRetention[request.DataPlane] = retention.DataPlaneView{Applied: request.AppliedForget, Left: request.Leaving}
	if request.Address != "" {
		n.dataPlaneAddresses[request.DataPlane] = request.Address
	}
	n.watchLock.Unlock()
	if request.Drill != nil {
		n.recordDrillReport(request.DataPlane, *request.Drill)
	}
	if !request.Primary {
		n.loads.RemoveReport(request.DataPlane)
	}
}

// CountedSince returns since when the data plane has been counted among the live ones, zero if it isn't.
func (w watchedNode) CountedSince(dataPlane string) time.Time {
	w.node.watchLock.Lock()
	defer w.node.watchLock.Unlock()
	return w.node.dataPlanes.FirstSeen(dataPlane)
}

// CountReliable says whether the node has run for longer than it remembers a silent data plane.
func (w watchedNode) CountReliable(now time.Time) bool {
	return now.Sub(w.node.startedAt) > w.node.dataPlanes.ExpireAfter
}

// RequestConfirmation has the state confirmed in a round that begins after the call.
func (w watchedNode) RequestConfirmation() { w.node.confirmer.Request() }

// IsLeaving says whether the node shuts down.
func (w watchedNode) IsLeaving() bool { return w.node.isLeaving() }

// exchangeFleet is what the load exchange sees of the fleet. It implements demand.Fleet.
type exchangeFleet struct {
	node *Node
}

// OtherControlPlanes returns the addresses of the other control planes that are known.
func (f exchangeFleet) OtherControlPlanes() []string { return f.node.otherControlNodes() }

// LeaseHolder returns the address of the placement lease's holder, or "" if none is known.
func (f exchangeFleet) LeaseHolder() string { return f.node.publisher.Current().LeaseHolder }

// Roster returns the list of replicas as this node has it.
func (f exchangeFleet) Roster() []discovery.Replica { return f.node.roster.replicaList() }

// SubscribedReplicas returns the replicas that a data plane is sent.
func (f exchangeFleet) SubscribedReplicas(dataPlane string) map[string]bool {
	return f.node.endpoints.SubscribedReplicas(dataPlane)
}
