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
	membersSettle = membership.SilentAfter + greetEvery
	// settleTime is how long a daemon that has just started does not say how many data planes
	// there are.
	settleTime = 2500 * time.Millisecond
)

// membershipView is what this daemon sees of the other control daemons.
func (d *Daemon) membershipView() membership.View {
	now := d.clock()
	self := d.acceptor.Self()
	view := membership.View{
		Current: d.store.Members(), Self: d.self, Wanted: 2*d.settings.FaultTolerance.MachineLoss + 1, Peers: map[string]membership.Peer{},
	}
	d.watching.Lock()
	defer d.watching.Unlock()
	for address, greeting := range d.joining {
		view.Peers[address] = membership.Peer{
			Address: address, Zone: greeting.Zone, Silence: now.Sub(d.controls.LastBeat(address)),
			Joining: greeting.Joining, Leaving: greeting.Leaving, Number: greeting.Number, Silent: greeting.Silent,
		}
	}
	view.Peers[d.self] = membership.Peer{
		Address: d.self, Zone: d.settings.Zone, Joining: !self.Voting, Leaving: d.isLeaving(), Number: self.Number,
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
	return now.Sub(d.controls.LastBeat(address)) < membership.SilentAfter && !d.joining[address].Leaving
}

// dueChange remembers since when a change of the members has been due in this daemon's view.
type dueChange struct {
	change membership.Change
	since  time.Time
}

func (due *dueChange) note(change membership.Change, now time.Time) {
	if due.change.Members.Number != change.Members.Number || due.change.Reason != change.Reason {
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
		if now.Sub(d.started) < membersSettle || !d.acceptor.Self().Voting || !d.publisher.Read().Fresh(now) {
			due = dueChange{}
			continue
		}
		view := d.membershipView()
		change, wanted := membership.Next(view)
		if !wanted {
			due = dueChange{}
			continue
		}
		due.note(change, now)
		if now.Sub(due.since) >= membership.Patience(view) {
			d.changeMembers(ctx, view.Current, change)
		}
	}
}

func (d *Daemon) changeMembers(ctx context.Context, current keystore.Members, change membership.Change) {
	bounded, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	slot, err := d.store.Change(bounded, keystore.MembersKey, func(slot keystore.Slot) (json.RawMessage, error) {
		var committed keystore.Members
		_ = json.Unmarshal(slot.Value, &committed)
		if committed.Number > current.Number {
			return nil, errors.New("members moved on")
		}
		return json.Marshal(change.Members)
	})
	if err != nil {
		return
	}
	logrus.WithFields(logrus.Fields{
		"why": change.Reason, "present": change.Members.Present, "next": change.Members.Next, "number": change.Members.Number,
	}).Info("members change committed")
	d.membersChange.Store(&operator.MembersChange{Number: change.Members.Number, Reason: change.Reason})
	d.apply(slot)
	_ = d.bus.Publish(event.Committed, peer.KeyUpdate{Slot: slot.Bare()})
}
