package controlplane

import (
	"sort"
	"time"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/controlplane/dataplanes"
)

// Status returns this node's view of the fleet and how recently that view was confirmed. It is safe for concurrent use.
func (n *Node) Status() adminapi.FleetStatus {
	snapshot := n.publisher.Current()
	members := n.store.Membership()
	now := n.clock()
	local := n.acceptor.LocalState()
	status := adminapi.FleetStatus{
		Address:              n.self,
		IsMember:             members.Contains(n.self),
		Voting:               local.Voting,
		Leaving:              n.members.IsLeaving(),
		Fresh:                snapshot.IsFresh(now),
		ConfirmedAgeMs:       ageMs(now, snapshot.ConfirmedAt),
		Revision:             snapshot.Revision,
		Members:              members.Current,
		NextMembers:          members.Next,
		MembershipVersion:    members.Version,
		MembershipChange:     n.lastMembershipChange(),
		PlacementLeaseHolder: snapshot.LeaseHolder,
		ControlPlanes:        snapshot.ControlPlanes,
		DataPlanes:           n.dataPlanes.Live(now, dataplanes.LiveWindow),
		Replicas:             snapshot.Replicas,
		ReplicaListAgeMs:     ageMs(now, snapshot.RosterAsOf),
		DrainedZones:         []string{},
		SuspectedMembers:     n.members.View().Suspects(),
	}
	for zone, state := range snapshot.Zones {
		if state.Drained {
			status.DrainedZones = append(status.DrainedZones, zone)
		}
	}
	sort.Strings(status.DrainedZones)
	return status
}

// lastMembershipChange returns the last membership change that this node committed, or nil.
func (n *Node) lastMembershipChange() *adminapi.MembershipChange {
	change := n.members.LastChange()
	if change == nil {
		return nil
	}
	return &adminapi.MembershipChange{Version: change.Membership.Version, Reason: change.Reason}
}

// unknownAgeMs is the reported age of an event that has not happened yet.
const unknownAgeMs = -1

func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownAgeMs
	}
	return now.Sub(at).Milliseconds()
}
