package controlplane

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
)

// diskWriteTimeout is how long a note on this member's own disk may take.
const diskWriteTimeout = 2 * time.Second

// catchUp tries to gain the vote, and has the others told at once if that succeeds.
func (n *Node) catchUp(ctx context.Context) {
	n.persistMembership(ctx)
	votes, verdict := n.store.CatchUp(ctx, n.acceptor)
	n.logBootstrapVerdict(verdict)
	if !votes {
		return
	}
	select {
	case n.caughtUp <- struct{}{}:
	default:
	}
}

// persistMembership has a list that was told in greetings on the disk, so that the next life of this daemon knows
// that the system was founded, whatever its settings name as seeds.
func (n *Node) persistMembership(ctx context.Context) {
	membership := n.store.Membership()
	if membership.Version <= n.acceptor.Membership().Version {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, diskWriteTimeout)
	defer cancel()
	if err := n.acceptor.AdoptMembership(bounded, membership); err != nil {
		logrus.WithError(err).Warn("a member list that was heard is not on the disk yet")
	}
}

// logBootstrapVerdict logs a verdict on founding when it changes.
func (n *Node) logBootstrapVerdict(verdict keystore.BootstrapVerdict) {
	previous, known := n.bootstrapVerdict.Swap(verdict).(keystore.BootstrapVerdict)
	if verdict == "" || known && previous == verdict {
		return
	}
	logrus.WithField("verdict", verdict).Info("too few voting members to catch up from: founding judged")
}

// completeBootstrap notes on this member's disk that every founder votes, once that is so.
func (n *Node) completeBootstrap(ctx context.Context) {
	if n.store.Membership().Version != keystore.BootstrapVersion {
		return
	}
	self := n.acceptor.LocalState()
	if !self.Voting || self.BootstrapCompleted || !membership.BootstrapMembersVote(n.membershipView()) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, diskWriteTimeout)
	defer cancel()
	if err := n.acceptor.CompleteBootstrap(bounded); err != nil {
		logrus.WithError(err).Warn("the end of the founding is not on the disk yet")
	}
}
