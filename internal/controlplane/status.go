package controlplane

import (
	"sort"
	"time"

	"ferryspar/internal/operator"
)

// Status tells what this daemon knows of the fleet and how sure it is of it.
func (d *Daemon) Status() operator.Fleet {
	snapshot := d.publisher.Current()
	members := d.store.Membership()
	now := d.clock()
	self := d.acceptor.LocalState()
	fleet := operator.Fleet{
		Member: d.self, IsMember: members.Contains(d.self), Voting: self.Voting, Leaving: d.isLeaving(),
		Fresh: snapshot.IsFresh(now), ConfirmedMs: age(now, snapshot.ConfirmedAt),
		Revision: snapshot.Revision, Members: members.Current, Next: members.Next, MembersNumber: members.Version,
		MembersChange: d.membersChange.Load(), Holder: snapshot.LeaseHolder,
		Control: snapshot.ControlPlanes, Replicas: snapshot.Replicas, ListMs: age(now, snapshot.RosterAsOf), Drained: []string{},
		Silent: d.membershipView().Suspects(),
	}
	for zone, state := range snapshot.Zones {
		if state.Drained {
			fleet.Drained = append(fleet.Drained, zone)
		}
	}
	sort.Strings(fleet.Drained)
	d.watching.Lock()
	fleet.Edges = d.edges.Live(d.clock(), 2*inTouch)
	d.watching.Unlock()
	return fleet
}

// neverAge is the age told of what has not happened yet.
const neverAge = -1

func age(now, at time.Time) int64 {
	if at.IsZero() {
		return neverAge
	}
	return now.Sub(at).Milliseconds()
}
