package controlplane

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
)

// noteBound is how long a note on this member's own disk may take.
const noteBound = 2 * time.Second

// catchUp tries to gain the vote, and has the others told at once if that succeeds.
func (d *Daemon) catchUp(ctx context.Context) {
	d.keepHeardMembers(ctx)
	votes, verdict := d.store.CatchUp(ctx, d.acceptor)
	d.logFounding(verdict)
	if !votes {
		return
	}
	select {
	case d.caughtUp <- struct{}{}:
	default:
	}
}

// keepHeardMembers has a list that was told in greetings on the disk, so that the next life of this daemon knows
// that the system was founded, whatever its settings name as seeds.
func (d *Daemon) keepHeardMembers(ctx context.Context) {
	heard := d.store.Membership()
	if heard.Version <= d.acceptor.Membership().Version {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, noteBound)
	defer cancel()
	if err := d.acceptor.AdoptMembership(bounded, heard); err != nil {
		logrus.WithError(err).Warn("a member list that was heard is not on the disk yet")
	}
}

// logFounding logs a verdict on founding when it changes.
func (d *Daemon) logFounding(verdict keystore.BootstrapVerdict) {
	previous, known := d.founding.Swap(verdict).(keystore.BootstrapVerdict)
	if verdict == "" || known && previous == verdict {
		return
	}
	logrus.WithField("verdict", verdict).Info("too few voting members to catch up from: founding judged")
}

// completeFounding notes on this member's disk that every founder votes, once that is so.
func (d *Daemon) completeFounding(ctx context.Context) {
	if d.store.Membership().Version != keystore.BootstrapVersion {
		return
	}
	self := d.acceptor.LocalState()
	if !self.Voting || self.BootstrapCompleted || !membership.BootstrapMembersVote(d.membershipView()) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, noteBound)
	defer cancel()
	if err := d.acceptor.CompleteBootstrap(bounded); err != nil {
		logrus.WithError(err).Warn("the end of the founding is not on the disk yet")
	}
}
