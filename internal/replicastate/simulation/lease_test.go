package simulation

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
)

const (
	leaseTime    = 3 * time.Second
	grantLength  = leaseTime / 2
	grantSettle  = leaseTime + 100*time.Millisecond
	orderNeeds   = 800 * time.Millisecond
	renewEvery   = 300 * time.Millisecond
	tryMargin    = 200 * time.Millisecond
	headStart    = 400 * time.Millisecond
	mostPatience = 250 * time.Millisecond
)

// register is the majority's value of the lease.
type register struct {
	value  json.RawMessage
	holder string
	owner  *daemon
	life   int
	until  time.Time // nobody else is granted the lease before
	split  time.Time // until then whoever thinks that it holds the lease is believed
}

var errUnreachable = errors.New("no majority granted it")

// registerClient is the register as one life of a daemon sees it.
type registerClient struct {
	daemon *daemon
	life   int
}

// Seize takes the lease.
func (c registerClient) Acquire(_ context.Context, _ string, decide func(keystore.Register) json.RawMessage) (keystore.Register, error) {
	d := c.daemon
	if d.storeCut() {
		return keystore.Register{}, errUnreachable
	}
	kept := d.world.register
	if d.world.now.Before(kept.until) && (kept.owner != d || kept.life != c.life) {
		return keystore.Register{}, errUnreachable
	}
	kept.until = d.world.now.Add(grantLength)
	kept.value = decide(keystore.Register{Value: kept.value})
	kept.holder, kept.owner, kept.life = d.name, d, c.life
	return keystore.Register{Value: kept.value}, nil
}

// owned tells whether the lease is still this life's.
func (c registerClient) owned() bool {
	kept := c.daemon.world.register
	return kept.owner == c.daemon && kept.life == c.life || c.daemon.world.now.Before(kept.split)
}

// Rewrite writes the record again.
func (c registerClient) Update(_ context.Context, _ string, decide keystore.Decide) error {
	if c.daemon.storeCut() || !c.owned() {
		return errUnreachable
	}
	kept := c.daemon.world.register
	value, err := decide(keystore.Register{Value: kept.value})
	if err == nil {
		kept.value = value
	}
	return err
}

// Renew tells whether the lease is still this life's.
func (c registerClient) Renew(context.Context, string) error {
	kept := c.daemon.world.register
	if c.daemon.storeCut() || !c.owned() {
		return errUnreachable
	}
	kept.until = c.daemon.world.now.Add(grantLength)
	return nil
}

// Release is not used.
func (c registerClient) Release(context.Context, string) error { return nil }

func (d *daemon) storeCut() bool { return d.world.now.Before(d.storeCutUntil) }

// newKeeper makes the lease of one life of a daemon.
func (d *daemon) newKeeper() *lease.Manager {
	return &lease.Manager{
		Key:           "placement",
		Holder:        d.name,
		Address:       d.name,
		TTL:           grantLength,
		TakeoverDelay: grantSettle,
		Store:         registerClient{d, d.life},
		Clock:         func() time.Time { return d.world.now },
	}
}

// keepLease renews the lease or tries to take it, as the scheduler does.
func (d *daemon) keepLease() {
	d.after(renewEvery, d.keepLease)
	if d.hold != nil {
		d.hold = d.keeper.Renew(context.Background(), d.hold)
		d.noteSettled()
		d.spreadHolder()
		return
	}
	if !d.mayTry() {
		return
	}
	if hold, err := d.keeper.Acquire(context.Background()); err == nil {
		d.hold = hold
	}
}

// noteSettled writes to the record once the lease of the holder before has surely run out, as the scheduler does with its
// reservation of loads.
func (d *daemon) noteSettled() {
	if d.hold == nil || d.written == d.hold.Record.Fence || d.world.now.Before(d.hold.EffectiveFrom) {
		return
	}
	if d.keeper.Reserve(context.Background(), d.hold, loadbudget.Reservation{}) == nil {
		d.written = d.hold.Record.Fence
	}
}

// spreadHolder has the other daemons hear of the holder.
func (d *daemon) spreadHolder() {
	if d.hold == nil || d.storeCut() {
		return
	}
	for _, other := range d.world.daemons {
		if !other.storeCut() {
			other.heardAt = d.world.now
		}
	}
}

func (d *daemon) mayTry() bool {
	since, patience := d.heardAt, d.keeper.TTL+tryMargin
	if holder := d.world.register.holder; holder != "" && holder != d.name {
		patience += headStart
		if since.Before(d.started) {
			since = d.started
		}
	}
	return d.world.now.Sub(since) > patience
}
