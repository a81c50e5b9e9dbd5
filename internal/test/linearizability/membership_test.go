package linearizability_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
)

const (
	heartbeatInterval  = 150 * time.Millisecond
	membershipInterval = 300 * time.Millisecond
	// notificationDelay is the latency of the notification of a committed membership.
	notificationDelay = 3 * time.Millisecond
	// membershipStartDelay is how long a machine only receives heartbeats after its start before it proposes changes.
	membershipStartDelay = 2500 * time.Millisecond
)

// exchangeHeartbeats delivers periodic heartbeats with the sender's membership between all machines that reach each other.
func (s *simulation) exchangeHeartbeats() {
	for !s.isStopped() {
		time.Sleep(heartbeatInterval + 13*time.Nanosecond)
		names := s.cluster.MemberNames()
		for _, from := range names {
			for _, to := range names {
				if from != to && s.cluster.CanReach(from, to) {
					s.deliverHeartbeat(from, to)
				}
			}
		}
	}
}

func (s *simulation) deliverHeartbeat(from, to string) {
	sender, receiver := s.cluster.StoreOf(from), s.cluster.StoreOf(to)
	if sender == nil || receiver == nil {
		return
	}
	receiver.AdoptMembership(sender.Membership())
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lastHeartbeat[[2]string{to, from}] = time.Now()
}

func (s *simulation) membershipView(self string, store *keystore.Store) membership.View {
	view := membership.View{
		Membership:     store.Membership(),
		Self:           self,
		DesiredMembers: s.schedule.size,
		Peers:          map[string]membership.Peer{},
	}
	for _, name := range s.cluster.MemberNames() {
		acceptor := s.cluster.AcceptorOf(name)
		s.lock.Lock()
		lastSeen, known := s.lastHeartbeat[[2]string{self, name}]
		s.lock.Unlock()
		if name != self && (!known || acceptor == nil) {
			continue
		}
		peer := membership.Peer{Address: name, Zone: s.cluster.Zone(name)}
		if name != self {
			peer.SinceLastHeard = time.Since(lastSeen)
		}
		if acceptor != nil {
			local := acceptor.LocalState()
			peer.Joining, peer.MembershipVersion = !local.Voting, local.MembershipVersion
		}
		view.Peers[name] = peer
	}
	return view
}

// membershipViewWithPeers returns the membership view of a machine with the machines that each peer suspects.
func (s *simulation) membershipViewWithPeers(self string, store *keystore.Store) membership.View {
	view := s.membershipView(self, store)
	for name, peer := range view.Peers {
		if otherStore := s.cluster.StoreOf(name); otherStore != nil && name != self {
			peer.Suspects = s.membershipView(name, otherStore).Suspects()
			view.Peers[name] = peer
		}
	}
	return view
}

// manageMembership replaces lost members as internal/controlplane does, and catches up a machine without a vote once it is a
// member again.
func (s *simulation) manageMembership(name string, position int) {
	var due membership.Change
	var since time.Time
	for !s.isStopped() {
		time.Sleep(membershipInterval + time.Duration(position*1009))
		s.waitWhileFrozen(name)
		store, acceptor := s.cluster.StoreOf(name), s.cluster.AcceptorOf(name)
		if store == nil || acceptor == nil {
			due = membership.Change{}
			continue
		}
		s.rejoin(name, store, acceptor)
		s.lock.Lock()
		listening := time.Since(s.startedAtByMachine[name]) < membershipStartDelay
		follower := s.followers[name]
		s.lock.Unlock()
		if listening || !acceptor.LocalState().Voting {
			due = membership.Change{}
			continue
		}
		view := s.membershipViewWithPeers(name, store)
		change, desired := membership.NextChange(view)
		if !desired || !view.Membership.IsRolledBackBy(change.Membership) && !follower.isConfirmed() {
			due = membership.Change{}
			continue
		}
		if due.Membership.Version != change.Membership.Version || due.Reason != change.Reason {
			due, since = change, time.Now()
		}
		if time.Since(since) >= membership.ProposalDelay(view)+change.StabilizationDelay {
			s.changeMembership(name, store, view.Membership, change)
		}
	}
}

func (s *simulation) rejoin(name string, store *keystore.Store, acceptor *keystore.Acceptor) {
	ctx, cancel := withTimeout(changeTimeout)
	defer cancel()
	if votes, _ := store.CatchUp(ctx, acceptor); votes {
		s.lock.Lock()
		defer s.lock.Unlock()
		delete(s.diskLost, name)
	}
}

// changeMembership commits a change, unless another change was committed first.
func (s *simulation) changeMembership(
	name string, store *keystore.Store, current keystore.Membership, change membership.Change,
) {
	ctx, cancel := withTimeout(changeTimeout)
	defer cancel()
	register, err := store.ChangeMembership(ctx, current, change.Membership)
	s.waitWhileFrozen(name)
	if err != nil {
		return
	}
	var committed keystore.Membership
	if json.Unmarshal(register.Value, &committed) == nil {
		s.recordMembership(committed)
		store.AdoptMembership(committed)
		s.notifyMembership(name)
	}
}

// notifyMembership sends a heartbeat to all reachable machines immediately, as a control plane does after each change that it
// commits.
func (s *simulation) notifyMembership(from string) {
	time.Sleep(notificationDelay)
	for _, to := range s.cluster.MemberNames() {
		if to != from && s.cluster.CanReach(from, to) {
			s.deliverHeartbeat(from, to)
		}
	}
}

// recordMembership checks that no two acknowledged memberships share a version.
func (s *simulation) recordMembership(committed keystore.Membership) {
	s.lock.Lock()
	other, known := s.committed[committed.Version]
	s.committed[committed.Version] = committed
	s.lock.Unlock()
	if known && !reflect.DeepEqual(other, committed) {
		s.fail(fmt.Errorf("members %v and %v were both acknowledged", other, committed))
	}
}
