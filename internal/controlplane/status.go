package controlplane

import (
	"sort"
	"time"

	"ferryspar/internal/adminapi"
)

// Status tells what this daemon knows of the fleet and how sure it is of it.
func (n *Node) Status() adminapi.FleetStatus {
	snapshot := n.publisher.Current()
	members := n.store.Membership()
	now := n.clock()
	self := n.acceptor.LocalState()
	status := adminapi.FleetStatus{
		Member: n.self, IsMember: members.Contains(n.self), Voting: self.Voting, Leaving: n.isLeaving(),
		Fresh: snapshot.IsFresh(now), ConfirmedAgeMs: age(now, snapshot.ConfirmedAt),
		Revision: snapshot.Revision, Members: members.Current, NextMembers: members.Next, MembershipVersion: members.Version,
		MembershipChange: n.membershipChange.Load(), PlacementHolder: snapshot.LeaseHolder,
		ControlPlanes: snapshot.ControlPlanes, Replicas: snapshot.Replicas, ListAgeMs: age(now, snapshot.RosterAsOf), DrainedZones: []string{},
		SilentMembers: n.membershipView().Suspects(),
	}
	for zone, state := range snapshot.Zones {
		if state.Drained {
			status.DrainedZones = append(status.DrainedZones, zone)
		}
	}
	sort.Strings(status.DrainedZones)
	n.watchLock.Lock()
	status.DataPlanes = n.dataPlanes.Live(n.clock(), 2*inContactWindow)
	n.watchLock.Unlock()
	return status
}

// unknownAge is the age told of what has not happened yet.
const unknownAge = -1

func age(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at).Milliseconds()
}
