package controlplane

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
)

const (
	confirmEvery = 350 * time.Millisecond
	// unsureEvery is the pause while the state is not confirmed.
	unsureEvery = 120 * time.Millisecond
	// leastPause keeps data planes that ask for a proof from asking the members all the time.
	leastPause  = 20 * time.Millisecond
	settleBound = 600 * time.Millisecond
)

// confirmer asks a majority of members what is in force, over and over, and tells the
// publisher since when nothing newer is known.
type confirmer struct {
	daemon *Daemon
	// soon asks for a confirmation that begins now.
	soon chan struct{}
	// unsettled are the proposals that the last look found on a minority only.
	unsettled map[string]keystore.Register
}

func newConfirmer(daemon *Daemon) *confirmer {
	return &confirmer{daemon: daemon, soon: make(chan struct{}, 1)}
}

// Soon asks for a confirmation that begins after this call.
func (c *confirmer) Soon() {
	select {
	case c.soon <- struct{}{}:
	default:
	}
}

func (c *confirmer) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := unsureEvery
		if c.look(ctx) {
			pause = confirmEvery
		}
		nodesettings.Sleep(ctx, leastPause)
		c.await(ctx, pause-leastPause)
	}
}

func (c *confirmer) await(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.soon:
	case <-ctx.Done():
	}
}

// look asks once. The state counts as confirmed only if everything that the majority named is
// applied here, and nothing newer was seen of which it is open whether it is in force.
func (c *confirmer) look(ctx context.Context) bool {
	asked := c.daemon.clock()
	digest, err := c.daemon.store.Digest(ctx)
	if err != nil {
		return false
	}
	learned := true
	for _, slot := range digest.Committed {
		learned = c.daemon.learn(ctx, slot) && learned
	}
	defer c.refresh(ctx, digest.Committed)
	open := c.open(digest.Undecided)
	if len(open) > 0 {
		c.settle(ctx, open)
		return false
	}
	if learned {
		c.daemon.publisher.Confirm(asked, c.daemon.clock())
	}
	return learned
}

// refresh brings this member's disk up to date. The confirmation does not hang on that disk.
func (c *confirmer) refresh(ctx context.Context, committed map[string]keystore.Register) {
	bounded, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	c.daemon.store.Refresh(bounded, c.daemon.acceptor, committed)
}

// open keeps the proposals that concern what is told to data planes. Leases are told by their
// holders' acts.
func (c *confirmer) open(unsettled map[string]keystore.Register) map[string]keystore.Register {
	open := map[string]keystore.Register{}
	for name, slot := range unsettled {
		if name != placementLease {
			open[name] = slot
		}
	}
	return open
}

// settle decides about proposals that were left on a minority, by a writer that ended midway:
// a read carries the newest on. It leaves a proposal to its writer the first time it is seen,
// and half of the times after that to the other daemons.
func (c *confirmer) settle(ctx context.Context, open map[string]keystore.Register) {
	before := c.unsettled
	c.unsettled = open
	for name, slot := range open {
		if !before[name].SameProposal(slot) || before[name].Key == "" || rand.IntN(2) == 0 {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, settleBound)
		whole, err := c.daemon.store.Read(bounded, name)
		cancel()
		if err == nil {
			c.daemon.apply(whole)
			logrus.WithField("key", name).Info("a write left on a minority is settled")
		}
	}
}

// learn applies a committed proposal that this daemon does not show yet, and says whether it
// does now.
func (d *Daemon) learn(ctx context.Context, slot keystore.Register) bool {
	d.applied.Lock()
	held, known := d.shown[slot.Key]
	d.applied.Unlock()
	if known && !slot.NewerThan(held) {
		return true
	}
	if own := d.acceptor.Durable()[slot.Key]; own.SameProposal(slot) {
		d.apply(own)
		return true
	}
	whole, err := d.store.Fetch(ctx, slot)
	if err != nil {
		return false
	}
	d.apply(whole)
	return true
}
