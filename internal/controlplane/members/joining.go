package members

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
)

// diskWriteTimeout is how long a write on this member's own disk may take.
const diskWriteTimeout = 2 * time.Second

// catchUp tries to gain the vote, and has a heartbeat sent at once if that succeeds.
func (m *Manager) catchUp(ctx context.Context) {
	m.persistMembership(ctx)
	isVoting, verdict := m.store.CatchUp(ctx, m.acceptor)
	m.logBootstrapVerdict(verdict)
	if !isVoting {
		return
	}
	select {
	case m.caughtUp <- struct{}{}:
	default:
	}
}

// persistMembership writes a membership that was learned from heartbeats to the disk. Without it the
// next incarnation of this node could take the system for one that was never bootstrapped, and
// bootstrap it once more.
func (m *Manager) persistMembership(ctx context.Context) {
	learned := m.store.Membership()
	if learned.Version <= m.acceptor.Membership().Version {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, diskWriteTimeout)
	defer cancel()
	if err := m.acceptor.AdoptMembership(bounded, learned); err != nil {
		logrus.WithError(err).WithField("version", learned.Version).Warn("learned membership is not on disk yet")
	}
}

// logBootstrapVerdict logs a verdict on bootstrapping when it changes.
func (m *Manager) logBootstrapVerdict(verdict keystore.BootstrapVerdict) {
	previous, known := m.lastVerdict.Swap(verdict).(keystore.BootstrapVerdict)
	if verdict == "" || known && previous == verdict {
		return
	}
	logrus.WithField("verdict", verdict).Info("too few voting members to catch up from: judged whether to bootstrap")
}

// completeBootstrap writes to this member's disk that every founding member votes, once that is so.
func (m *Manager) completeBootstrap(ctx context.Context) {
	if m.store.Membership().Version != keystore.BootstrapVersion {
		return
	}
	local := m.acceptor.LocalState()
	if !local.Voting || local.BootstrapCompleted || !membership.BootstrapMembersVote(m.View()) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, diskWriteTimeout)
	defer cancel()
	if err := m.acceptor.CompleteBootstrap(bounded); err != nil {
		logrus.WithError(err).Warn("end of bootstrap is not on disk yet")
	}
}
