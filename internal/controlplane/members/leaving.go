package members

import (
	"time"

	"ferryspar/internal/membership"
)

const (
	// minLeaveDuration is the minimum time that a leaving node keeps running, so that its last heartbeats are delivered.
	minLeaveDuration   = 400 * time.Millisecond
	leaveCheckInterval = 50 * time.Millisecond
)

// StartLeaving announces in all further heartbeats that this node is leaving. It must be called at most once.
func (m *Manager) StartLeaving() { close(m.leaving) }

// Leaving returns a channel that is closed when the node starts to leave.
func (m *Manager) Leaving() <-chan struct{} { return m.leaving }

// IsLeaving reports whether the node is leaving.
func (m *Manager) IsLeaving() bool {
	select {
	case <-m.leaving:
		return true
	default:
		return false
	}
}

// AwaitSafeToStop waits until this node, which started to leave at startedAt, can stop without harm to the control plane: another
// node has replaced it, or a quorum remains and there is no node to replace it. It returns at deadline at the latest.
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
