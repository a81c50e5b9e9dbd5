package controlplane

import (
	"time"

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
