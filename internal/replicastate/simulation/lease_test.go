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
	leaseTime                   = 3 * time.Second
	grantLength                 = leaseTime / 2
	takeoverDelay               = leaseTime + 100*time.Millisecond
	orderLeaseMargin            = 800 * time.Millisecond
	renewInterval               = 300 * time.Millisecond
	acquireMargin               = 200 * time.Millisecond
	previousHolderPriorityDelay = 400 * time.Millisecond
	maxStartDelay               = 250 * time.Millisecond
)

// register is the lease's record as a majority of the store's members holds it.
type register struct {
	value           json.RawMessage
	holder          string
	owner           *node
	incarnation     int
	ownedUntil      time.Time // until then the lease is granted to nobody else
	splitBrainUntil time.Time // until then every node may update and renew the lease, whoever owns it
}

var errUnreachable = errors.New("no majority of members reached")

// registerClient gives one incarnation of a node access to the register. It implements lease.Store.
type registerClient struct {
	node        *node
	incarnation int
}

// Acquire makes this incarnation the owner of the lease if the previous ownership has expired.
func (c registerClient) Acquire(_ context.Context, _ string, decide func(keystore.Register) json.RawMessage) (keystore.Register, error) {
	node := c.node
	if node.isStorePartitioned() {
		return keystore.Register{}, errUnreachable
	}
	register := node.cluster.register
	if node.cluster.now.Before(register.ownedUntil) && (register.owner != node || register.incarnation != c.incarnation) {
		return keystore.Register{}, errUnreachable
	}
	register.ownedUntil = node.cluster.now.Add(grantLength)
	register.value = decide(keystore.Register{Value: register.value})
	register.holder, register.owner, register.incarnation = node.name, node, c.incarnation
	return keystore.Register{Value: register.value}, nil
}

// isOwner reports whether this incarnation still owns the lease or splitBrainUntil has not passed.
func (c registerClient) isOwner() bool {
	register := c.node.cluster.register
	return register.owner == c.node && register.incarnation == c.incarnation || c.node.cluster.now.Before(register.splitBrainUntil)
}

// Update rewrites the record if this incarnation still owns the lease.
func (c registerClient) Update(_ context.Context, _ string, decide keystore.ChangeFunc) error {
	if c.node.isStorePartitioned() || !c.isOwner() {
		return errUnreachable
	}
	register := c.node.cluster.register
	value, err := decide(keystore.Register{Value: register.value})
	if err == nil {
		register.value = value
	}
	return err
}

// Renew extends the ownership if this incarnation still owns the lease.
func (c registerClient) Renew(context.Context, string) error {
	register := c.node.cluster.register
	if c.node.isStorePartitioned() || !c.isOwner() {
		return errUnreachable
	}
	register.ownedUntil = c.node.cluster.now.Add(grantLength)
	return nil
}

// Release does nothing: nodes never release the lease here.
func (c registerClient) Release(context.Context, string) error { return nil }

func (n *node) isStorePartitioned() bool { return n.cluster.now.Before(n.storePartitionedUntil) }

// newLeaseManager returns the lease manager of one incarnation of a node.
func (n *node) newLeaseManager() *lease.Manager {
	return &lease.Manager{
		Key:           "placement",
		Holder:        n.name,
		Address:       n.name,
		TTL:           grantLength,
		TakeoverDelay: takeoverDelay,
		Store:         registerClient{n, n.incarnation},
		Clock:         func() time.Time { return n.cluster.now },
	}
}

// keepLease renews the lease or tries to acquire it, as the scheduler does.
func (n *node) keepLease() {
	n.after(renewInterval, n.keepLease)
	if n.currentGrant != nil {
		n.currentGrant = n.leaseManager.Renew(context.Background(), n.currentGrant)
		n.clearTakeoverPending()
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

// clearTakeoverPending writes the record once the previous holder's lease has certainly expired, which clears the record's
// TakeoverPending. The scheduler does so when it writes its reservation of loads.
func (n *node) clearTakeoverPending() {
	if n.currentGrant == nil ||
		n.takeoverClearedFence == n.currentGrant.Record.Fence ||
		n.cluster.now.Before(n.currentGrant.EffectiveFrom) {
		return
	}
	if n.leaseManager.Reserve(context.Background(), n.currentGrant, loadbudget.Reservation{}) == nil {
		n.takeoverClearedFence = n.currentGrant.Record.Fence
	}
}

// announceHolder lets the other nodes see the holder.
func (n *node) announceHolder() {
	if n.currentGrant == nil || n.isStorePartitioned() {
		return
	}
	for _, other := range n.cluster.nodes {
		if !other.isStorePartitioned() {
			other.leaseHolderSeenAt = n.cluster.now
		}
	}
}

func (n *node) mayAcquire() bool {
	lastSeen, timeout := n.leaseHolderSeenAt, n.leaseManager.TTL+acquireMargin
	if holder := n.cluster.register.holder; holder != "" && holder != n.name {
		timeout += previousHolderPriorityDelay
		if lastSeen.Before(n.started) {
			lastSeen = n.started
		}
	}
	return n.cluster.now.Sub(lastSeen) > timeout
}
