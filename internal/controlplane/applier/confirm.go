package applier

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
	// unconfirmedInterval is the interval while the state is not confirmed.
	unconfirmedInterval = 120 * time.Millisecond
	// minConfirmInterval limits how often data planes that wait for a confirmation can cause the members to be queried.
	minConfirmInterval = 20 * time.Millisecond
	// commitTimeout bounds writing to this node's own disk and committing a proposal that was left on a minority.
	commitTimeout = 600 * time.Millisecond
)

// RequestConfirmation requests a confirmation round that starts after this call.
func (a *Applier) RequestConfirmation() {
	select {
	case a.requested <- struct{}{}:
	default:
	}
}

// Run confirms the state periodically until ctx is done.
//
// The pause between rounds is at least as long as the previous round took, up to confirmInterval, so that members that are slow
// to answer are not overloaded with further queries.
func (a *Applier) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := unconfirmedInterval
		began := a.clock()
		if a.confirm(ctx) {
			interval = confirmInterval
		}
		pause := min(max(minConfirmInterval, a.clock().Sub(began)), confirmInterval)
		nodesettings.Sleep(ctx, pause)
		a.waitForRequest(ctx, max(interval-pause, 0))
	}
}

// waitForRequest waits for the interval, or until a confirmation is requested or ctx is done.
func (a *Applier) waitForRequest(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.requested:
	case <-ctx.Done():
	}
}

// confirm asks a majority once what is committed, and reports whether the state counts as confirmed: everything that the majority
// returned is applied, and no newer proposal that may be in force was seen. The published confirmation time is the time before
// the query, because something newer may have been committed right after the members answered.
func (a *Applier) confirm(ctx context.Context) bool {
	askedAt := a.clock()
	digest, err := a.store.Digest(ctx)
	if err != nil {
		return false
	}
	isApplied := true
	for _, register := range digest.Committed {
		isApplied = a.ApplyCommitted(ctx, register) && isApplied
	}
	defer a.refresh(ctx, digest.Committed)
	if pending := withoutPlacementLease(digest.Undecided); len(pending) > 0 {
		a.commitPending(ctx, pending)
		return false
	}
	if isApplied {
		a.publisher.Confirm(askedAt, a.clock())
	}
	return isApplied
}

// refresh updates this member's disk with the committed registers. The confirmation does not depend on that disk.
func (a *Applier) refresh(ctx context.Context, committed map[string]keystore.Register) {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	a.store.Refresh(bounded, a.acceptor, committed)
}

// withoutPlacementLease returns the proposals except that for the placement lease, which does not affect what data planes are
// sent. The nodes that try to acquire the lease settle its proposals, of which there may be many while the holder changes.
func withoutPlacementLease(undecided map[string]keystore.Register) map[string]keystore.Register {
	pending := map[string]keystore.Register{}
	for key, register := range undecided {
		if key != PlacementLeaseKey {
			pending[key] = register
		}
	}
	return pending
}

// commitPending completes proposals that a writer left on a minority when it crashed, by a read, which commits the newest one. It
// leaves a proposal to its writer the first time that it is seen. After that it skips the proposal at random half of the time, so
// that the nodes do not contend.
func (a *Applier) commitPending(ctx context.Context, pending map[string]keystore.Register) {
	previous := a.uncommitted
	a.uncommitted = pending
	for key, register := range pending {
		seenBefore, wasSeen := previous[key]
		if !wasSeen || !seenBefore.SameProposal(register) || rand.IntN(2) == 0 {
			continue
		}
		a.commit(ctx, key)
	}
}

func (a *Applier) commit(ctx context.Context, key string) {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	committed, err := a.store.Read(bounded, key)
	if err != nil {
		return
	}
	a.Apply(committed)
	logrus.WithField("key", key).Info("write left on a minority is committed")
}
