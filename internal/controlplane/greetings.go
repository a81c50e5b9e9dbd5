package controlplane

import (
	"context"
	"slices"
	"sort"
	"time"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/heartbeat"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
	"ferryspar/internal/retention"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	// joiningHeartbeatInterval is the pause of a daemon that does not vote yet: others wait for its word.
	joiningHeartbeatInterval = 150 * time.Millisecond
	watcherCount             = 3
	// dataPlaneListPeriod is how often, in greetings, the names of live data planes go along.
	dataPlaneListPeriod = 5
)

// otherControlNodes lists the addresses of all control daemons that this one knows of.
func (n *Node) otherControlNodes() []string {
	known := map[string]bool{}
	for _, member := range n.store.Membership().All() {
		known[member] = true
	}
	for _, seed := range n.settings.SeedPeers() {
		known[seed] = true
	}
	n.watchLock.Lock()
	for _, name := range n.controlNodes.Live(n.clock(), n.controlNodes.ExpireAfter) {
		known[name] = true
	}
	n.watchLock.Unlock()
	delete(known, n.self)
	others := make([]string, 0, len(known))
	for address := range known {
		others = append(others, address)
	}
	sort.Strings(others)
	return others
}

// heartbeatReply is the answer to a greeting.
type heartbeatReply struct {
	Members keystore.Membership `json:"members"`
	Control []string            `json:"control"`
}

func (n *Node) runHeartbeats(ctx context.Context) {
	leaving := n.leaving
	for {
		voting := n.sendHeartbeats(ctx)
		interval := heartbeatInterval
		if !voting {
			interval = joiningHeartbeatInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-leaving:
			leaving = nil
		case <-n.caughtUp:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (n *Node) isLeaving() bool {
	select {
	case <-n.leaving:
		return true
	default:
		return false
	}
}

func (n *Node) heartbeat() peer.Heartbeat {
	self := n.acceptor.LocalState()
	message := peer.Heartbeat{
		NodeName: n.settings.NodeName, Address: n.self, Joining: !self.Voting, MembershipVersion: self.MembershipVersion, Leaving: n.isLeaving(), Zone: n.settings.Zone,
		Unreachable: n.membershipView().Suspects(),
	}
	if n.heartbeatsSent++; n.heartbeatsSent%dataPlaneListPeriod == 1 || message.Leaving {
		n.watchLock.Lock()
		message.DataPlanes = n.dataPlanes.Live(n.clock(), 2*inContactWindow)
		n.watchLock.Unlock()
	}
	return message
}

// greet tells the watchers on the ring, and all members, that this daemon lives. A daemon
// without a vote greets all that it knows, and tries to catch up. It says whether it votes.
func (n *Node) sendHeartbeats(ctx context.Context) bool {
	message := n.heartbeat()
	others := n.otherControlNodes()
	targets := heartbeat.Watchers(n.self, others, watcherCount)
	for _, member := range n.store.Membership().All() {
		if member != n.self && !slices.Contains(targets, member) {
			targets = append(targets, member)
		}
	}
	if message.Joining {
		targets = others
		go n.catchUp(ctx)
	}
	for _, address := range targets {
		go func() {
			var reply heartbeatReply
			if n.peers.Call(ctx, peer.MethodHeartbeat, address, message, &reply) == nil {
				n.store.AdoptMembership(reply.Members)
				n.addControlNodes(reply.Control)
			}
		}()
	}
	n.publishNodeCounts(others)
	return !message.Joining
}

func (n *Node) publishNodeCounts(others []string) {
	n.watchLock.Lock()
	count := max(n.dataPlanes.Count(n.clock()), 1)
	neighbours := n.neighbourList()
	n.watchLock.Unlock()
	present, uptime := count, n.clock().Sub(n.startedAt)
	if uptime < earlyDataPlaneCountDelay {
		present = 0
	}
	if uptime < dataPlaneCountDelay {
		count = 0
	}
	control := append(others, n.self)
	sort.Strings(control)
	update := func(next *watch.Snapshot) {
		next.DataPlaneCount, next.EarlyDataPlaneCount, next.ControlPlanes, next.Neighbours = count, present, control, neighbours
	}
	if firstCount := present > 0 && n.publisher.Current().EarlyDataPlaneCount == 0; firstCount {
		n.publisher.Update(func(next *watch.Snapshot) bool { update(next); return true })
		return
	}
	n.publisher.UpdateQuietly(update)
}

func (n *Node) handleHeartbeat(_ context.Context, message peer.Heartbeat) heartbeatReply {
	now := n.clock()
	n.watchLock.Lock()
	n.controlNodes.Record(message.Address, heartbeat.Heartbeat{ReportedAt: now})
	n.lastHeartbeats[message.Address] = message
	if message.Leaving && message.Address == n.publisher.Current().LeaseHolder {
		n.scheduler.forgetLeaseHolder()
	}
	for _, dataPlane := range message.DataPlanes {
		n.dataPlanes.RecordContact(dataPlane, now)
		if _, known := n.dataPlaneRetention[dataPlane]; !known {
			n.dataPlaneRetention[dataPlane] = retention.DataPlaneView{}
		}
	}
	n.watchLock.Unlock()
	return heartbeatReply{Members: n.store.Membership(), Control: append(n.otherControlNodes(), n.self)}
}
