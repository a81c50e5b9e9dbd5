package members

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
)

// diskWriteTimeout bounds a write to this member's own disk.
const diskWriteTimeout = 2 * time.Second

// catchUp tries to become a voting member, and triggers a heartbeat if that succeeds.
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

// persistMembership writes a membership that was learned from heartbeats to disk. Without it, this node could conclude after a
// restart that the system was never bootstrapped, and bootstrap it a second time.
func (m *Manager) persistMembership(ctx context.Context) {
	learned := m.store.Membership()
	if learned.Version <= m.acceptor.Membership().Version {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, diskWriteTimeout)
	defer cancel()
	if err := m.acceptor.AdoptMembership(bounded, learned); err != nil {
		logrus.WithError(err).WithField("version", learned.Version).Warn("learned membership could not be written to disk; retrying")
	}
}

// logBootstrapVerdict logs the decision on whether to bootstrap when it changes.
func (m *Manager) logBootstrapVerdict(verdict keystore.BootstrapVerdict) {
	previous, known := m.lastVerdict.Swap(verdict).(keystore.BootstrapVerdict)
	if verdict == "" || known && previous == verdict {
		return
	}
	logrus.WithField("verdict", verdict).Info("too few voting members to catch up from; evaluated whether to bootstrap")
}

// completeBootstrap records on this member's disk that bootstrap is complete once every bootstrap member votes.
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
		logrus.WithError(err).Warn("completion of bootstrap could not be written to disk; retrying")
	}
}
