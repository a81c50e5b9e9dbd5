package simulation

import (
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/lease"
	"ferryspar/internal/place"
)

const (
	planEvery = 100 * time.Millisecond
	barTime   = 220 * time.Millisecond
	reportAge = 500 * time.Millisecond
	// reportAge, orderSettle, refusedPause and reportDistrust are those of the control plane.
	orderSettle    = 3 * time.Second
	refusedPause   = 4 * time.Second
	reportDistrust = 2 * time.Second
	// longestDelivery is how long a configuration takes to reach a daemon.
	longestDelivery = 300 * time.Millisecond
	// slowThread is how long a goroutine may wait for a processor after a freeze.
	slowThread = 600 * time.Millisecond
)

// daemon is a simulated daemon that places models while it holds the lease.
type daemon struct {
	world         *world
	name          string
	life          int
	alive         bool
	frozen        bool
	freezeNext    time.Duration // freeze for so long right after the next decision
	deferred      []func()
	storeCutUntil time.Time
	started       time.Time
	heardAt       time.Time
	keeper        *lease.Manager
	hold          *lease.Grant
	grant         *lease.Grant
	written       uint64 // fence of the grant whose record was written to since it settled
	table         *configuration.Table
	sizes         *place.SizeHistory
	known         map[string]*knownReplica
	calls         []*call
}

// after has this life of the daemon do something later: not before its thaw if it is frozen then.
func (d *daemon) after(pause time.Duration, run func()) {
	life := d.life
	d.world.after(pause, func() {
		switch {
		case !d.alive || d.life != life:
		case d.frozen:
			d.deferred = append(d.deferred, run)
		default:
			run()
		}
	})
}

func (d *daemon) start() {
	if d.alive {
		return
	}
	d.life++
	d.alive, d.frozen, d.deferred = true, false, nil
	d.started, d.heardAt = d.world.now, time.Time{}
	d.keeper, d.hold, d.grant, d.written = d.newKeeper(), nil, nil, 0
	d.known, d.calls = map[string]*knownReplica{}, nil
	d.table = d.world.table
	d.after(d.world.between(0, mostPatience), d.keepLease)
	d.after(d.world.between(0, planEvery), d.run)
}

func (d *daemon) kill() {
	d.alive = false
	for _, one := range d.calls {
		if !one.ended {
			one.ended, one.endedAt = true, d.world.now
		}
	}
}

func (d *daemon) freeze(pause time.Duration) {
	if d.frozen || !d.alive {
		return
	}
	d.frozen = true
	life := d.life
	d.world.after(pause, func() {
		if d.life == life && d.alive {
			d.thaw()
		}
	})
}

// thaw does what was due meanwhile, some of it a little later.
func (d *daemon) thaw() {
	d.frozen = false
	due := d.deferred
	d.deferred = nil
	for _, run := range due {
		pause := time.Duration(0)
		if d.world.random.IntN(4) == 0 {
			pause = d.world.between(0, slowThread)
		}
		d.after(pause, run)
	}
}

// adopt takes a configuration into force once it is delivered, unless a newer one was.
func (d *daemon) adopt(table *configuration.Table) {
	d.after(d.world.between(0, longestDelivery), func() {
		if table.Configuration.Revision > d.table.Configuration.Revision {
			d.table = table
		}
	})
}

// run is one round of the scheduler's loop.
func (d *daemon) run() {
	d.after(planEvery, d.run)
	d.adoptGrant()
	if d.hold.Allows(d.world.now, orderNeeds) {
		d.step()
	}
}

// adoptGrant forgets what was learned under another grant. While none is held nothing is forgotten.
func (d *daemon) adoptGrant() {
	if d.hold == nil || !d.world.now.Before(d.hold.ExpiresAt) {
		return
	}
	same := d.grant.SameAs(d.hold)
	d.grant = d.hold
	if same {
		return
	}
	d.sizes = place.NewSizeHistory()
	if d.world.variant != keptAcrossGrants {
		d.known = map[string]*knownReplica{}
	}
}

func (d *daemon) step() {
	d.followList()
	for _, one := range d.inOrder() {
		if one.state.AskDue(d.world.now) {
			d.poll(one)
		}
	}
	d.plan()
}

// followList manages the replicas of the platform's list.
func (d *daemon) followList() {
	listed := map[string]bool{}
	for _, server := range d.world.servers {
		id, held := server.listed()
		listed[id] = true
		if d.known[id] == nil {
			d.known[id] = d.newKnown(id, server, held)
		}
		d.known[id].recheckContradicted(held)
	}
	for id := range d.known {
		if !listed[id] {
			delete(d.known, id)
		}
	}
}

// inOrder are the known replicas in the order of their servers.
func (d *daemon) inOrder() []*knownReplica {
	var ordered []*knownReplica
	for _, server := range d.world.servers {
		id, _ := server.listed()
		ordered = append(ordered, d.known[id])
	}
	return ordered
}

func (d *daemon) plan() {
	view := d.world.view(d)
	for _, one := range d.inOrder() {
		if one.pending != nil && one.pending.Load {
			view.Loading[place.ModelKey(backendName, one.pending.Model)]++
		}
		view.Servers = append(view.Servers, &place.Server{
			ID:          one.id,
			Backend:     backendName,
			Zone:        "north",
			Loaded:      one.state.SurelyHeld(),
			MaybeLoaded: one.state.MayHold(),
			OnDisk:      one.server.disk,
			Intent:      one.intent,
			Ready:       one.state.Ready(d.world.now),
		})
	}
	for _, action := range place.Plan(view) {
		d.known[action.Server].order(action)
	}
	for _, server := range view.Servers {
		d.known[server.ID].intent = server.Intent
	}
}
