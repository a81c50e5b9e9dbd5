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
	// joiningHeartbeatInterval is the interval of a node that does not vote yet. It is shorter because other nodes wait for its
	// vote.
	joiningHeartbeatInterval = 150 * time.Millisecond
	// ringTargetCount is the number of nodes on the hash ring to which a node sends its heartbeats, in addition to the members.
	ringTargetCount = 3
	// dataPlaneListPeriod is the number of heartbeat rounds of which one carries the names of the live data planes.
	dataPlaneListPeriod = 5
)

// HeartbeatReply is the reply to a heartbeat.
type HeartbeatReply struct {
	Membership keystore.Membership `json:"members"`
	// ControlPlanes holds the addresses of all control-plane nodes known to the node that replies.
	ControlPlanes []string `json:"control"`
}

// runHeartbeats sends heartbeats until ctx is done: at fixed intervals, and at once when this node starts to leave or becomes a
// voting member.
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

// sendHeartbeats sends a heartbeat to the node's watchers on the hash ring and to all members. A node without a vote sends it to
// all nodes that it knows, and tries to catch up. sendHeartbeats returns whether this node votes.
func (m *Manager) sendHeartbeats(ctx context.Context) bool {
	message := m.nextHeartbeat()
	others := m.PeerAddresses()
	targets := m.heartbeatTargets(others)
	if message.Joining {
		targets = others
		m.inFlight.Go(func() { m.catchUp(ctx) })
	}
	for _, address := range targets {
		m.inFlight.Go(func() { m.sendHeartbeat(ctx, address, message) })
	}
	m.host.HeartbeatsSent(others)
	return !message.Joining
}

func (m *Manager) heartbeatTargets(others []string) []string {
	targets := heartbeat.Watchers(m.config.Self, others, ringTargetCount)
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

// observeTimeOfDay adds the reading of this node's own clock to the time-of-day estimate, and returns it in microseconds.
func (m *Manager) observeTimeOfDay() int64 {
	now := m.config.Clock()
	m.config.TimeOfDay.Observe(m.config.Self, now, now)
	return now.UnixMicro()
}

// HandleHeartbeat records the heartbeat of another node.
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
