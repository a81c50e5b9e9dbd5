// Package applier follows the committed state of the keystore: it applies each committed register to the
// snapshot that a control-plane node publishes, and asks a majority over and over what is committed, so
// that the node knows since when nothing newer than its snapshot is in force.
//
// It writes nothing but proposals that another writer left on a minority. It never publishes a state
// older than the one published. Start reading at Applier.Run.
package applier

import (
	"context"
	"sync"
	"time"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/keystore"
)

// PlacementLeaseKey is the key of the lease whose holder places models.
const PlacementLeaseKey = keystore.LeasePrefix + "placement"

// Applier applies committed registers. Any goroutine may call its methods.
type Applier struct {
	store     *keystore.Store
	acceptor  *keystore.Acceptor
	publisher *watch.Publisher
	clock     func() time.Time

	// lock guards applied, and is held while a register is applied, so that registers of a key are
	// published in order.
	lock sync.Mutex
	// applied holds the newest register of each key that was applied, without its value.
	applied map[string]keystore.Register

	// requested asks for a confirmation that starts now.
	requested chan struct{}
	// uncommitted are the proposals that the last confirmation found on a minority only. It is used by
	// Run only.
	uncommitted map[string]keystore.Register
}

// New returns an applier that has applied nothing. clock is the node's steady clock.
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

// Apply applies a committed register with its value, unless one as new was applied.
func (a *Applier) Apply(register keystore.Register) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.isApplied(register) {
		return
	}
	a.publish(register)
	a.applied[register.Key] = register.WithoutValue()
}

// isApplied tells whether a register as new was applied. The caller holds the lock.
func (a *Applier) isApplied(register keystore.Register) bool {
	applied, known := a.applied[register.Key]
	return known && !register.NewerThan(applied)
}

// LastWriter is the address of the node that wrote a key last, as far as this one has applied it, or "".
func (a *Applier) LastWriter(key string) string {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.applied[key].Accepted.Proposer
}

// ApplyCommitted applies a committed register that may come without its value, which is then read from
// this node's own disk or from other members. It returns whether the register, or a newer one, is applied.
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
