package members

import (
	"time"

	"ferryspar/internal/membership"
)

const (
	// minLeaveDuration is the least that a leaving node stays, so that its last heartbeats arrive.
	minLeaveDuration   = 400 * time.Millisecond
	leaveCheckInterval = 50 * time.Millisecond
)

// StartLeaving says in all further heartbeats that this node is about to end. It is called once.
func (m *Manager) StartLeaving() { close(m.leaving) }

// Leaving is closed once the node starts to leave.
func (m *Manager) Leaving() <-chan struct{} { return m.leaving }

// IsLeaving tells whether the node is about to end.
func (m *Manager) IsLeaving() bool {
	select {
	case <-m.leaving:
		return true
	default:
		return false
	}
}

// AwaitSafeToStop waits until the control plane can do without this node, which started to leave at
// startedAt: a successor has taken its place, or a quorum stays and nobody is there to succeed it. It
// waits no longer than until deadline.
func (m *Manager) AwaitSafeToStop(startedAt, deadline time.Time) {
	for {
		now := m.config.Clock()
		if !now.Before(deadline) {
			return
		}
		if now.Sub(startedAt) >= minLeaveDuration && membership.MayLeave(m.View()) {
			return
		}
		time.Sleep(leaveCheckInterval)
	}
}
