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
	confirmInterval = 350 * time.Millisecond
	// unconfirmedInterval is the pause while the state is not confirmed.
	unconfirmedInterval = 120 * time.Millisecond
	// minConfirmInterval keeps data planes that ask for a proof from asking the members all the time.
	minConfirmInterval = 20 * time.Millisecond
	commitTimeout      = 600 * time.Millisecond
)

// confirmer asks a majority of members what is in force, over and over, and tells the
// publisher since when nothing newer is known.
type confirmer struct {
	node *Node
	// soon asks for a confirmation that begins now.
	requested chan struct{}
	// unsettled are the proposals that the last look found on a minority only.
	uncommitted map[string]keystore.Register
}

func newConfirmer(node *Node) *confirmer {
	return &confirmer{node: node, requested: make(chan struct{}, 1)}
}

// Soon asks for a confirmation that begins after this call.
func (c *confirmer) Request() {
	select {
	case c.requested <- struct{}{}:
	default:
	}
}

func (c *confirmer) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := unconfirmedInterval
		if c.confirm(ctx) {
			interval = confirmInterval
		}
		nodesettings.Sleep(ctx, minConfirmInterval)
		c.await(ctx, interval-minConfirmInterval)
	}
}

func (c *confirmer) await(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.requested:
	case <-ctx.Done():
	}
}

// look asks once. The state counts as confirmed only if everything that the majority named is
// applied here, and nothing newer was seen of which it is open whether it is in force.
func (c *confirmer) confirm(ctx context.Context) bool {
	sentAt := c.node.clock()
	digest, err := c.node.store.Digest(ctx)
	if err != nil {
		return false
	}
	applied := true
	for _, register := range digest.Committed {
		applied = c.node.applyCommitted(ctx, register) && applied
	}
	defer c.refresh(ctx, digest.Committed)
	pending := c.blocking(digest.Undecided)
	if len(pending) > 0 {
		c.commitPending(ctx, pending)
		return false
	}
	if applied {
		c.node.publisher.Confirm(sentAt, c.node.clock())
	}
	return applied
}

// refresh brings this member's disk up to date. The confirmation does not hang on that disk.
func (c *confirmer) refresh(ctx context.Context, committed map[string]keystore.Register) {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	c.node.store.Refresh(bounded, c.node.acceptor, committed)
}

// open keeps the proposals that concern what is told to data planes. Leases are told by their
// holders' acts.
func (c *confirmer) blocking(uncommitted map[string]keystore.Register) map[string]keystore.Register {
	blocking := map[string]keystore.Register{}
	for name, register := range uncommitted {
		if name != placementLease {
			blocking[name] = register
		}
	}
	return blocking
}

// settle decides about proposals that were left on a minority, by a writer that ended midway:
// a read carries the newest on. It leaves a proposal to its writer the first time it is seen,
// and half of the times after that to the other daemons.
func (c *confirmer) commitPending(ctx context.Context, pending map[string]keystore.Register) {
	previous := c.uncommitted
	c.uncommitted = pending
	for name, register := range pending {
		if !previous[name].SameProposal(register) || previous[name].Key == "" || rand.IntN(2) == 0 {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, commitTimeout)
		committed, err := c.node.store.Read(bounded, name)
		cancel()
		if err == nil {
			c.node.apply(committed)
			logrus.WithField("key", name).Info("a write left on a minority is settled")
		}
	}
}

// learn applies a committed proposal that this daemon does not show yet, and says whether it
// does now.
func (n *Node) applyCommitted(ctx context.Context, register keystore.Register) bool {
	n.applyLock.Lock()
	applied, known := n.appliedRegisters[register.Key]
	n.applyLock.Unlock()
	if known && !register.NewerThan(applied) {
		return true
	}
	if own := n.acceptor.Durable()[register.Key]; own.SameProposal(register) {
		n.apply(own)
		return true
	}
	complete, err := n.store.Fetch(ctx, register)
	if err != nil {
		return false
	}
	n.apply(complete)
	return true
}
