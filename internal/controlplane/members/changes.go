package members

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
)

const (
	changeCheckInterval = 150 * time.Millisecond
	// startDelay is how long a node that has just started waits before it may change the membership. It is the time until a
	// member that sends no heartbeats is suspected.
	startDelay = membership.SuspectAfter + heartbeatInterval
	// changeTimeout bounds committing a change.
	changeTimeout = 2500 * time.Millisecond
)

// pendingChange is a change that is due in this node's view, and the time since when it has been.
type pendingChange struct {
	change membership.Change
	since  time.Time
}

// observe records that a change is due at now. The time restarts if the change differs from the one before.
func (p *pendingChange) observe(change membership.Change, now time.Time) {
	isDifferent := p.change.Membership.Version != change.Membership.Version || p.change.Reason != change.Reason
	if isDifferent {
		*p = pendingChange{change, now}
	}
}

// runChanges replaces failed members until ctx is done. Every voting member with a confirmed state takes part: the first by
// address acts at once, and each further one after a delay, if those before it have not completed the change.
func (m *Manager) runChanges(ctx context.Context) {
	ticker := time.NewTicker(changeCheckInterval)
	defer ticker.Stop()
	var pending pendingChange
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.completeBootstrap(ctx)
		m.commitIfDue(ctx, &pending)
	}
}

// commitIfDue commits a change of the membership that has been due for long enough.
func (m *Manager) commitIfDue(ctx context.Context, pending *pendingChange) {
	now := m.config.Clock()
	view := m.View()
	change, needed := membership.NextChange(view)
	if !needed || !m.mayChange(now, view.Membership.IsRolledBackBy(change.Membership)) {
		*pending = pendingChange{}
		return
	}
	pending.observe(change, now)
	if now.Sub(pending.since) >= membership.ProposalDelay(view)+change.StabilizationDelay {
		m.commitChange(ctx, view.Membership, change)
	}
}

// mayChange reports whether this node knows enough to change the membership. Rolling back a change does not require a confirmed
// state, because nothing can be confirmed while the next members have no majority. It is safe, because a member that acts on an
// old membership is rejected.
func (m *Manager) mayChange(now time.Time, isRollback bool) bool {
	knowsEnough := now.Sub(m.config.StartedAt) >= startDelay && m.acceptor.LocalState().Voting
	return knowsEnough && (isRollback || m.host.IsConfirmed(now))
}

// commitChange commits a change unless a membership newer than current was committed in the meantime. Failures are ignored,
// because the change is still due at the next check, at this node or another.
func (m *Manager) commitChange(ctx context.Context, current keystore.Membership, change membership.Change) {
	bounded, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	register, err := m.store.ChangeMembership(bounded, current, change.Membership)
	if err != nil {
		return
	}
	logrus.WithFields(logrus.Fields{
		"reason":  change.Reason,
		"members": change.Membership.Current,
		"next":    change.Membership.Next,
		"version": change.Membership.Version,
	}).Info("membership change committed")
	m.lastChange.Store(&change)
	m.host.MembershipCommitted(register)
}
