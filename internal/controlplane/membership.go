package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/event"
	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
	"ferryspar/internal/operator"
	"ferryspar/internal/peer"
)

const (
	membersEvery = 150 * time.Millisecond
	// membersSettle is how long a daemon that has just started listens before it acts on the
	// members: for as long as it takes until one that it does not hear counts as silent.
	membersSettle = membership.SuspectAfter + greetEvery
	// settleTime is how long a daemon that has just started does not say how many data planes
	// there are.
	settleTime = 2500 * time.Millisecond
)

// membershipView is what this daemon sees of the other control daemons.
func (d *Daemon) membershipView() membership.View {
	now := d.clock()
	self := d.acceptor.LocalState()
	view := membership.View{
		Current: d.store.Membership(), Self: d.self, DesiredMembers: 2*d.settings.FaultTolerance.MachineLoss + 1, Peers: map[string]membership.Peer{},
	}
	d.watching.Lock()
	defer d.watching.Unlock()
	for address, greeting := range d.joining {
		view.Peers[address] = membership.Peer{
			Address: address, Zone: greeting.Zone, SinceLastHeard: now.Sub(d.controls.LastReport(address)),
			Joining: greeting.Joining, Leaving: greeting.Leaving, MembershipVersion: greeting.MembershipVersion, Suspects: greeting.Unreachable,
		}
	}
	view.Peers[d.self] = membership.Peer{
		Address: d.self, Zone: d.settings.Zone, Joining: !self.Voting, Leaving: d.isLeaving(), MembershipVersion: self.MembershipVersion,
	}
	return view
}

// hearsOther says whether another control daemon, which does not leave, was heard just now.
func (d *Daemon) hearsOther(address string, now time.Time) bool {
	if address == "" || address == d.self {
		return false
	}
	d.watching.Lock()
	defer d.watching.Unlock()
	return now.Sub(d.controls.LastReport(address)) < membership.SuspectAfter && !d.joining[address].Leaving
}

// dueChange remembers since when a change of the members has been due in this daemon's view.
type dueChange struct {
	change membership.Change
	since  time.Time
}

func (due *dueChange) note(change membership.Change, now time.Time) {
	if due.change.Membership.Version != change.Membership.Version || due.change.Reason != change.Reason {
		*due = dueChange{change, now}
	}
}

// membersLoop replaces lost members. Every voting member with a confirmed state takes part; the
// first by address acts at once, each further one if those before it do not get it done.
func (d *Daemon) membersLoop(ctx context.Context) {
	ticker := time.NewTicker(membersEvery)
	defer ticker.Stop()
	var due dueChange
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.completeFounding(ctx)
		now := d.clock()
		if now.Sub(d.started) < membersSettle || !d.acceptor.LocalState().Voting || !d.publisher.Current().IsFresh(now) {
			due = dueChange{}
			continue
		}
		view := d.membershipView()
		change, wanted := membership.NextChange(view)
		if !wanted {
			due = dueChange{}
			continue
		}
		due.note(change, now)
		if now.Sub(due.since) >= membership.ProposalDelay(view) {
			d.changeMembers(ctx, view.Current, change)
		}
	}
}

func (d *Daemon) changeMembers(ctx context.Context, current keystore.Membership, change membership.Change) {
	bounded, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	slot, err := d.store.Change(bounded, keystore.MembershipKey, func(slot keystore.Register) (json.RawMessage, error) {
		var committed keystore.Membership
		_ = json.Unmarshal(slot.Value, &committed)
		if committed.Version > current.Version {
			return nil, errors.New("members moved on")
		}
		return json.Marshal(change.Membership)
	})
	if err != nil {
		return
	}
	logrus.WithFields(logrus.Fields{
		"why": change.Reason, "present": change.Membership.Current, "next": change.Membership.Next, "number": change.Membership.Version,
	}).Info("members change committed")
	d.membersChange.Store(&operator.MembersChange{Number: change.Membership.Version, Reason: change.Reason})
	d.apply(slot)
	_ = d.bus.Publish(event.Committed, peer.KeyUpdate{Register: slot.WithoutValue()})
}
