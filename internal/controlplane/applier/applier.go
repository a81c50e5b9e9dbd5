// Package applier keeps the snapshot that a control-plane node publishes in step with the committed state of the keystore. It
// applies committed registers to the snapshot and regularly asks a majority what is committed, so that the node knows at what
// time its snapshot was last known to be current.
//
// It writes only to complete proposals that another writer left on a minority, and never publishes a state older than the one
// published. Start reading at Applier.Run.
package applier

import (
	"context"
	"sync"
	"time"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/keystore"
)

// PlacementLeaseKey is the keystore key of the lease whose holder places models.
const PlacementLeaseKey = keystore.LeasePrefix + "placement"

// Applier applies committed registers to the published snapshot. It is safe for concurrent use.
type Applier struct {
	store     *keystore.Store
	acceptor  *keystore.Acceptor
	publisher *watch.Publisher
	clock     func() time.Time

	// lock guards applied. It is held while a register is applied, so that the registers of a key are published in order.
	lock sync.Mutex
	// applied holds, by key, the newest register that was applied, without its value.
	applied map[string]keystore.Register

	// requested signals that a confirmation was requested.
	requested chan struct{}
	// uncommitted holds the proposals that the last confirmation found on a minority only. Only Run uses it.
	uncommitted map[string]keystore.Register
}

// New returns an applier that has applied nothing. clock is the node's monotonic clock.
func New(store *keystore.Store, acceptor *keystore.Acceptor, publisher *watch.Publisher, clock func() time.Time) *Applier {
	return &Applier{
		store:     store,
		acceptor:  acceptor,
		publisher: publisher,
		clock:     clock,
		applied:   map[string]keystore.Register{},
		requested: make(chan struct{}, 1),
	}
}

// Apply applies a committed register with its value unless one that is at least as new was applied before.
func (a *Applier) Apply(register keystore.Register) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.isApplied(register) {
		return
	}
	a.publish(register)
	a.applied[register.Key] = register.WithoutValue()
}

// isApplied reports whether a register that is at least as new was applied. The caller holds the lock.
func (a *Applier) isApplied(register keystore.Register) bool {
	applied, known := a.applied[register.Key]
	return known && !register.NewerThan(applied)
}

// LastWriter returns the address of the node that wrote the last applied register of a key, or "".
func (a *Applier) LastWriter(key string) string {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.applied[key].Accepted.Proposer
}

// ApplyCommitted applies a committed register that may lack its value, which is then read from this node's disk or from other
// members. It reports whether the register, or a newer one, is applied.
func (a *Applier) ApplyCommitted(ctx context.Context, register keystore.Register) bool {
	a.lock.Lock()
	isApplied := a.isApplied(register)
	a.lock.Unlock()
	if isApplied {
		return true
	}
	if own := a.acceptor.Durable()[register.Key]; own.SameProposal(register) {
		a.Apply(own)
		return true
	}
	fetched, err := a.store.Fetch(ctx, register)
	if err != nil {
		return false
	}
	a.Apply(fetched)
	return true
}
