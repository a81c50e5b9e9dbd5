package controlplane

import (
	"context"
	"slices"
	"sort"
	"time"

	"ferryspar/internal/heartbeat"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
	"ferryspar/internal/retention"
)

const (
	greetEvery = 400 * time.Millisecond
	// joinEvery is the pause of a daemon that does not vote yet: others wait for its word.
	joinEvery    = 150 * time.Millisecond
	watcherCount = 3
	// edgesTurns is how often, in greetings, the names of live data planes go along.
	edgesTurns = 5
)

// otherControls lists the addresses of all control daemons that this one knows of.
func (d *Daemon) otherControls() []string {
	known := map[string]bool{}
	for _, member := range d.store.Membership().All() {
		known[member] = true
	}
	for _, seed := range d.settings.SeedPeers() {
		known[seed] = true
	}
	d.watching.Lock()
	for _, name := range d.controls.Live(d.clock(), d.controls.ExpireAfter) {
		known[name] = true
	}
	d.watching.Unlock()
	delete(known, d.self)
	others := make([]string, 0, len(known))
	for address := range known {
		others = append(others, address)
	}
	sort.Strings(others)
	return others
}

// greeted is the answer to a greeting.
type greeted struct {
	Members keystore.Membership `json:"members"`
	Control []string            `json:"control"`
}

func (d *Daemon) greetLoop(ctx context.Context) {
	leaving := d.leaving
	for {
		voting := d.greet(ctx)
		pause := greetEvery
		if !voting {
			pause = joinEvery
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-leaving:
			leaving = nil
		case <-d.caughtUp:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (d *Daemon) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

func (d *Daemon) greeting() peer.Heartbeat {
	self := d.acceptor.LocalState()
	greeting := peer.Heartbeat{
		NodeName: d.settings.NodeName, Address: d.self, Joining: !self.Voting, MembershipVersion: self.MembershipVersion, Leaving: d.isLeaving(), Zone: d.settings.Zone,
		Unreachable: d.membershipView().Suspects(),
	}
	if d.greetings++; d.greetings%edgesTurns == 1 || greeting.Leaving {
		d.watching.Lock()
		greeting.DataPlanes = d.edges.Live(d.clock(), 2*inTouch)
		d.watching.Unlock()
	}
	return greeting
}

// greet tells the watchers on the ring, and all members, that this daemon lives. A daemon
// without a vote greets all that it knows, and tries to catch up. It says whether it votes.
func (d *Daemon) greet(ctx context.Context) bool {
	greeting := d.greeting()
	others := d.otherControls()
	targets := heartbeat.Watchers(d.self, others, watcherCount)
	for _, member := range d.store.Membership().All() {
		if member != d.self && !slices.Contains(targets, member) {
			targets = append(targets, member)
		}
	}
	if greeting.Joining {
		targets = others
		go d.catchUp(ctx)
	}
	for _, address := range targets {
		go func() {
			var reply greeted
			if d.peers.Call(ctx, "greet", address, greeting, &reply) == nil {
				d.store.AdoptMembership(reply.Members)
				d.noteControls(reply.Control)
			}
		}()
	}
	d.publishCounts(others)
	return !greeting.Joining
}

func (d *Daemon) publishCounts(others []string) {
	d.watching.Lock()
	counted := max(d.edges.Count(d.clock()), 1)
	neighbours := d.listNeighbours()
	d.watching.Unlock()
	present, running := counted, d.clock().Sub(d.started)
	if running < presentTime {
		present = 0
	}
	if running < settleTime {
		counted = 0
	}
	control := append(others, d.self)
	sort.Strings(control)
	update := func(next *Snapshot) {
		next.DataPlaneCount, next.EarlyDataPlaneCount, next.ControlPlanes, next.Neighbours = counted, present, control, neighbours
	}
	if firstCount := present > 0 && d.publisher.Current().EarlyDataPlaneCount == 0; firstCount {
		d.publisher.Update(func(next *Snapshot) bool { update(next); return true })
		return
	}
	d.publisher.UpdateQuietly(update)
}

func (d *Daemon) hearGreeting(_ context.Context, greeting peer.Heartbeat) greeted {
	now := d.clock()
	d.watching.Lock()
	d.controls.Record(greeting.Address, heartbeat.Heartbeat{ReportedAt: now})
	d.joining[greeting.Address] = greeting
	if greeting.Leaving && greeting.Address == d.publisher.Current().LeaseHolder {
		d.scheduler.forgetHolder()
	}
	for _, edge := range greeting.DataPlanes {
		d.edges.RecordContact(edge, now)
		if _, known := d.remembered[edge]; !known {
			d.remembered[edge] = retention.DataPlaneView{}
		}
	}
	d.watching.Unlock()
	return greeted{Members: d.store.Membership(), Control: append(d.otherControls(), d.self)}
}
