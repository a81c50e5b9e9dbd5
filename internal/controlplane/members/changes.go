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
	// startDelay is how long a node that has just started listens before it changes the membership:
	// for as long as it takes until a member that it does not hear is suspected.
	startDelay = membership.SuspectAfter + heartbeatInterval
	// changeTimeout is how long committing a change may take.
	changeTimeout = 2500 * time.Millisecond
)

// dueChange remembers since when a change has been due in this node's view.
type dueChange struct {
	change membership.Change
	since  time.Time
}

// observe notes that a change is due now. It restarts the time if that is another change than before.
func (d *dueChange) observe(change membership.Change, now time.Time) {
	isOther := d.change.Membership.Version != change.Membership.Version || d.change.Reason != change.Reason
	if isOther {
		*d = dueChange{change, now}
	}
}

// runChanges replaces lost members until ctx ends. Every voting member with a confirmed state takes
// part: the first by address acts at once, each further one if those before it do not get it done.
func (m *Manager) runChanges(ctx context.Context) {
	ticker := time.NewTicker(changeCheckInterval)
	defer ticker.Stop()
	var due dueChange
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.completeBootstrap(ctx)
		m.changeIfDue(ctx, &due)
	}
}

// changeIfDue commits a change of the membership that has been due for long enough.
func (m *Manager) changeIfDue(ctx context.Context, due *dueChange) {
	now := m.config.Clock()
	view := m.View()
	change, needed := membership.NextChange(view)
	if !needed || !m.mayChange(now, view.Membership.IsRolledBackBy(change.Membership)) {
		*due = dueChange{}
		return
	}
	due.observe(change, now)
	if now.Sub(due.since) >= membership.ProposalDelay(view)+change.StabilizationDelay {
		m.commitChange(ctx, view.Membership, change)
	}
}

// mayChange tells whether this node knows enough to change the membership. To take back a change the state need not be
// confirmed: nothing can be confirmed while the next members have no majority, and a member that acts on an old
// membership is rejected.
func (m *Manager) mayChange(now time.Time, isTakenBack bool) bool {
	knowsEnough := now.Sub(m.config.StartedAt) >= startDelay && m.acceptor.LocalState().Voting
	return knowsEnough && (isTakenBack || m.host.IsConfirmed(now))
}

// commitChange commits a change unless a newer membership than current was committed meanwhile.
// Failures are not reported: the change is still due at the next check, here or elsewhere.
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
