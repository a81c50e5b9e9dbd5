package members

import (
	"context"
	"slices"
	"time"

	"ferryspar/internal/controlplane/dataplanes"
	"ferryspar/internal/heartbeat"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	// joiningHeartbeatInterval is that of a node that does not vote yet: others wait for it.
	joiningHeartbeatInterval = 150 * time.Millisecond
	// watcherCount is how many nodes on the ring of hashed names a node sends its heartbeats to,
	// beside the members.
	watcherCount = 3
	// dataPlaneListPeriod: one in so many rounds of heartbeats carries the names of live data planes.
	dataPlaneListPeriod = 5
)

// HeartbeatReply is the reply to a heartbeat.
type HeartbeatReply struct {
	Membership keystore.Membership `json:"members"`
	// ControlPlanes are the addresses of all control-plane nodes that the receiver knows of.
	ControlPlanes []string `json:"control"`
}

// runHeartbeats sends heartbeats until ctx ends: at fixed intervals, and at once when this node starts
// to leave or gains its vote.
func (m *Manager) runHeartbeats(ctx context.Context) {
	leaving := m.leaving
	for {
		interval := heartbeatInterval
		if isVoting := m.sendHeartbeats(ctx); !isVoting {
			interval = joiningHeartbeatInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-leaving:
			leaving = nil
		case <-m.caughtUp:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// sendHeartbeats sends a heartbeat to the watchers on the ring and to all members. A node without a
// vote sends it to all that it knows of, and tries to catch up. It returns whether this node votes.
func (m *Manager) sendHeartbeats(ctx context.Context) bool {
	message := m.nextHeartbeat()
	others := m.PeerAddresses()
	targets := m.heartbeatTargets(others)
	if message.Joining {
		targets = others
		m.sends.Go(func() { m.catchUp(ctx) })
	}
	for _, address := range targets {
		m.sends.Go(func() { m.sendHeartbeat(ctx, address, message) })
	}
	m.host.HeartbeatsSent(others)
	return !message.Joining
}

func (m *Manager) heartbeatTargets(others []string) []string {
	targets := heartbeat.Watchers(m.config.Self, others, watcherCount)
	for _, member := range m.store.Membership().All() {
		if member != m.config.Self && !slices.Contains(targets, member) {
			targets = append(targets, member)
		}
	}
	return targets
}

func (m *Manager) sendHeartbeat(ctx context.Context, address string, message peer.Heartbeat) {
	var reply HeartbeatReply
	if m.caller.Call(ctx, peer.MethodHeartbeat, address, message, &reply) != nil {
		return
	}
	m.store.AdoptMembership(reply.Membership)
	m.AddPeers(reply.ControlPlanes)
}

// nextHeartbeat composes the heartbeat of the next round.
func (m *Manager) nextHeartbeat() peer.Heartbeat {
	local := m.acceptor.LocalState()
	message := peer.Heartbeat{
		NodeName:          m.config.NodeName,
		Address:           m.config.Self,
		Joining:           !local.Voting,
		MembershipVersion: local.MembershipVersion,
		Leaving:           m.IsLeaving(),
		Zone:              m.config.Zone,
		Unreachable:       m.View().Suspects(),
		TimeOfDayUs:       m.observeTimeOfDay(),
	}
	m.roundsSent++
	if m.roundsSent%dataPlaneListPeriod == 1 || message.Leaving {
		message.DataPlanes = m.dataPlanes.Live(m.config.Clock(), dataplanes.LiveWindow)
	}
	return message
}

// observeTimeOfDay takes in the time of day of this node's own clock, and returns it in microseconds.
func (m *Manager) observeTimeOfDay() int64 {
	now := m.config.Clock()
	m.config.TimeOfDay.Observe(m.config.Self, now, now)
	return now.UnixMicro()
}

// HandleHeartbeat records another node's heartbeat.
func (m *Manager) HandleHeartbeat(_ context.Context, message peer.Heartbeat) HeartbeatReply {
	now := m.config.Clock()
	if message.TimeOfDayUs != 0 {
		m.config.TimeOfDay.Observe(message.Address, time.UnixMicro(message.TimeOfDayUs), now)
	}
	m.lock.Lock()
	m.nodes.Record(message.Address, heartbeat.Heartbeat{ReportedAt: now})
	m.lastHeartbeats[message.Address] = message
	m.lock.Unlock()
	if message.Leaving {
		m.host.MemberLeaving(message.Address)
	}
	m.dataPlanes.RecordContacts(message.DataPlanes, now)
	return HeartbeatReply{
		Membership:    m.store.Membership(),
		ControlPlanes: append(m.PeerAddresses(), m.config.Self),
	}
}
