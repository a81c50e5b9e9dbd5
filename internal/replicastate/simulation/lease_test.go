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
	leaseTime               = 3 * time.Second
	grantLength             = leaseTime / 2
	takeoverDelay           = leaseTime + 100*time.Millisecond
	orderLeaseMargin        = 800 * time.Millisecond
	renewInterval           = 300 * time.Millisecond
	acquireMargin           = 200 * time.Millisecond
	previousHolderHeadStart = 400 * time.Millisecond
	maxStartDelay           = 250 * time.Millisecond
)

// register is the lease's record as a majority has it.
type register struct {
	value       json.RawMessage
	holder      string
	owner       *node
	incarnation int
	ownedUntil  time.Time // nobody else is granted the lease before
	splitUntil  time.Time // until then every node that thinks that it holds the lease is believed
}

var errUnreachable = errors.New("no majority granted it")

// registerClient is the register as one incarnation of a node sees it.
type registerClient struct {
	node        *node
	incarnation int
}

// Acquire takes the lease.
func (c registerClient) Acquire(_ context.Context, _ string, decide func(keystore.Register) json.RawMessage) (keystore.Register, error) {
	node := c.node
	if node.isStorePartitioned() {
		return keystore.Register{}, errUnreachable
	}
	register := node.world.register
	if node.world.now.Before(register.ownedUntil) && (register.owner != node || register.incarnation != c.incarnation) {
		return keystore.Register{}, errUnreachable
	}
	register.ownedUntil = node.world.now.Add(grantLength)
	register.value = decide(keystore.Register{Value: register.value})
	register.holder, register.owner, register.incarnation = node.name, node, c.incarnation
	return keystore.Register{Value: register.value}, nil
}

// isOwner tells whether the lease still belongs to this incarnation.
func (c registerClient) isOwner() bool {
	register := c.node.world.register
	return register.owner == c.node && register.incarnation == c.incarnation || c.node.world.now.Before(register.splitUntil)
}

// Update writes the record again.
func (c registerClient) Update(_ context.Context, _ string, decide keystore.ChangeFunc) error {
	if c.node.isStorePartitioned() || !c.isOwner() {
		return errUnreachable
	}
	register := c.node.world.register
	value, err := decide(keystore.Register{Value: register.value})
	if err == nil {
		register.value = value
	}
	return err
}

// Renew tells whether the lease still belongs to this incarnation.
func (c registerClient) Renew(context.Context, string) error {
	register := c.node.world.register
	if c.node.isStorePartitioned() || !c.isOwner() {
		return errUnreachable
	}
	register.ownedUntil = c.node.world.now.Add(grantLength)
	return nil
}

// Release is not used.
func (c registerClient) Release(context.Context, string) error { return nil }

func (n *node) isStorePartitioned() bool { return n.world.now.Before(n.storePartitionedUntil) }

// newLeaseManager returns the lease manager of one incarnation of a node.
func (n *node) newLeaseManager() *lease.Manager {
	return &lease.Manager{
		Key:           "placement",
		Holder:        n.name,
		Address:       n.name,
		TTL:           grantLength,
		TakeoverDelay: takeoverDelay,
		Store:         registerClient{n, n.incarnation},
		Clock:         func() time.Time { return n.world.now },
	}
}

// keepLease renews the lease or tries to take it, as the scheduler does.
func (n *node) keepLease() {
	n.after(renewInterval, n.keepLease)
	if n.currentGrant != nil {
		n.currentGrant = n.leaseManager.Renew(context.Background(), n.currentGrant)
		n.recordSettled()
		n.announceHolder()
		return
	}
	if !n.mayAcquire() {
		return
	}
	if grant, err := n.leaseManager.Acquire(context.Background()); err == nil {
		n.currentGrant = grant
	}
}

// recordSettled writes to the record once the previous holder's lease has surely expired, as the scheduler does with its
// reservation of loads.
func (n *node) recordSettled() {
	if n.currentGrant == nil || n.settledFence == n.currentGrant.Record.Fence || n.world.now.Before(n.currentGrant.EffectiveFrom) {
		return
	}
	if n.leaseManager.Reserve(context.Background(), n.currentGrant, loadbudget.Reservation{}) == nil {
		n.settledFence = n.currentGrant.Record.Fence
	}
}

// announceHolder tells the other nodes of the holder.
func (n *node) announceHolder() {
	if n.currentGrant == nil || n.isStorePartitioned() {
		return
	}
	for _, other := range n.world.nodes {
		if !other.isStorePartitioned() {
			other.leaseHolderSeenAt = n.world.now
		}
	}
}

func (n *node) mayAcquire() bool {
	lastSeen, timeout := n.leaseHolderSeenAt, n.leaseManager.TTL+acquireMargin
	if holder := n.world.register.holder; holder != "" && holder != n.name {
		timeout += previousHolderHeadStart
		if lastSeen.Before(n.started) {
			lastSeen = n.started
		}
	}
	return n.world.now.Sub(lastSeen) > timeout
}
