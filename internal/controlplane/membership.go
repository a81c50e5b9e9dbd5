package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/eventbus"
	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
	"ferryspar/internal/peer"
)

const (
	membershipInterval = 150 * time.Millisecond
	// membershipStartDelay is how long a daemon that has just started listens before it acts on the
	// members: for as long as it takes until one that it does not hear counts as silent.
	membershipStartDelay = membership.SuspectAfter + heartbeatInterval
	// dataPlaneCountDelay is how long a daemon that has just started does not say how many data planes
	// there are.
	dataPlaneCountDelay = 2500 * time.Millisecond
)

// membershipView is what this daemon sees of the other control daemons.
func (n *Node) membershipView() membership.View {
	now := n.clock()
	self := n.acceptor.LocalState()
	view := membership.View{
		Membership: n.store.Membership(), Self: n.self, DesiredMembers: 2*n.settings.FaultTolerance.MachineLoss + 1, Peers: map[string]membership.Peer{},
	}
	n.watchLock.Lock()
	defer n.watchLock.Unlock()
	for address, last := range n.lastHeartbeats {
		view.Peers[address] = membership.Peer{
			Address: address, Zone: last.Zone, SinceLastHeard: now.Sub(n.controlNodes.LastReport(address)),
			Joining: last.Joining, Leaving: last.Leaving, MembershipVersion: last.MembershipVersion, Suspects: last.Unreachable,
		}
	}
	view.Peers[n.self] = membership.Peer{
		Address: n.self, Zone: n.settings.Zone, Joining: !self.Voting, Leaving: n.isLeaving(), MembershipVersion: self.MembershipVersion,
	}
	return view
}

// isReachable says whether another control daemon, which does not leave, was heard just now.
func (n *Node) isReachable(address string, now time.Time) bool {
	if address == "" || address == n.self {
		return false
	}
	n.watchLock.Lock()
	defer n.watchLock.Unlock()
	return now.Sub(n.controlNodes.LastReport(address)) < membership.SuspectAfter && !n.lastHeartbeats[address].Leaving
}

// dueChange remembers since when a change of the members has been due in this daemon's view.
type dueChange struct {
	change membership.Change
	since  time.Time
}

func (due *dueChange) observe(change membership.Change, now time.Time) {
	if due.change.Membership.Version != change.Membership.Version || due.change.Reason != change.Reason {
		*due = dueChange{change, now}
	}
}

// runMembership replaces lost members. Every voting member with a confirmed state takes part; the
// first by address acts at once, each further one if those before it do not get it done.
func (n *Node) runMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	var due dueChange
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.completeBootstrap(ctx)
		now := n.clock()
		if now.Sub(n.startedAt) < membershipStartDelay || !n.acceptor.LocalState().Voting || !n.publisher.Current().IsFresh(now) {
			due = dueChange{}
			continue
		}
		view := n.membershipView()
		change, needed := membership.NextChange(view)
		if !needed {
			due = dueChange{}
			continue
		}
		due.observe(change, now)
		if now.Sub(due.since) >= membership.ProposalDelay(view) {
			n.commitMembership(ctx, view.Membership, change)
		}
	}
}

func (n *Node) commitMembership(ctx context.Context, current keystore.Membership, change membership.Change) {
	bounded, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	register, err := n.store.Change(bounded, keystore.MembershipKey, func(register keystore.Register) (json.RawMessage, error) {
		var committed keystore.Membership
		_ = json.Unmarshal(register.Value, &committed)
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
	n.membershipChange.Store(&adminapi.MembershipChange{Version: change.Membership.Version, Reason: change.Reason})
	n.apply(register)
	_ = n.bus.Publish(eventbus.TopicCommitted, peer.KeyUpdate{Register: register.WithoutValue()})
}
