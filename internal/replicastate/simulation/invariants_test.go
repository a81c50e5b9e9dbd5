package simulation

import (
	"strings"
	"time"

	"ferryspar/internal/replicastate"
)

// invariant is a rule that a run may break.
type invariant string

const (
	// capacityExceeded is an accepted load beyond the capacity for models or adapters.
	capacityExceeded invariant = "LIMIT"
	// rejectedOverCapacity is such a load, rejected or not, by a holder that could know better: all orders accepted since
	// its grant began are its own, and nothing arrived later than the network allows.
	rejectedOverCapacity invariant = "LIMIT although rejected"
	// holdersOverlap is a holder that sends orders too soon after another one, or under a lower fence.
	holdersOverlap invariant = "ONE"
	// grantMismatch is an order under another grant than it was decided under.
	grantMismatch invariant = "grant mixed"
	// orderedDuringBackoff is an order to a replica that has just rejected one for its fence.
	orderedDuringBackoff invariant = "order sent after a rejection for the fence"
	// neverLoaded is something wanted that is not loaded in the end.
	neverLoaded invariant = "not loaded in the end"
)

// fits tells whether a load fits beside what is loaded and being loaded.
func (s *server) fits(change replicastate.Change) bool {
	total, adapters := 0.0, 0
	counted := map[string]bool{change.Reference: true}
	for reference := range s.loaded {
		counted[reference] = true
	}
	if s.busy != nil && s.busy.Load {
		counted[s.busy.Reference] = true
	}
	for reference := range counted {
		total += sizeOf(reference)
		if strings.Contains(reference, "/") {
			adapters++
		}
	}
	return total <= serverCapacity && (adapters <= serverAdapterCapacity || !strings.Contains(change.Reference, "/"))
}

// checkArrival checks the invariants for an order that arrives.
func (w *world) checkArrival(s *server, order sentOrder) {
	if order.Fence != order.decidedFence {
		w.fail(grantMismatch, "%s: decided under %d, sent under %d", s.id, order.decidedFence, order.Fence)
	}
	w.checkHolders(s, order)
	if !order.Load || s.fits(order.Change) {
		return
	}
	switch {
	case s.acceptedFromOthers(order):
		w.rejectedUnaware++
	case w.allowances.unboundedDelay:
		w.rejectedBeyond++
	default:
		w.fail(rejectedOverCapacity, "%s: %+v holding %v", s.id, order, s.loaded)
	}
}

// recordResponse counts an order that arrived, by the status of its response.
func (w *world) recordResponse(order sentOrder, status int) {
	w.responses[status]++
	if order.late {
		w.lateResponses[status]++
	}
}

// acceptedFromOthers tells whether the server has accepted orders of another grant since the order's own grant began.
func (s *server) acceptedFromOthers(order sentOrder) bool {
	for _, earlier := range s.accepted {
		if earlier.fence != order.Fence && !earlier.at.Before(order.grantedAt) {
			return true
		}
	}
	return false
}

// checkBackoff checks that a replica is left alone for a while once it has rejected an order for its fence.
func (t *trackedReplica) checkBackoff() {
	if !t.fencedAt.IsZero() && t.now().Sub(t.fencedAt) < timings.RejectionBackoff {
		t.node.world.fail(orderedDuringBackoff, "%s: under fence %d", t.id, t.fence)
	}
}

// checkHolders checks that no two holders send orders within the length of a lease and that fences rise. Orders that the
// network has delayed do not count.
func (w *world) checkHolders(s *server, order sentOrder) {
	if order.delayed || s.lastOrder == nil || s.lastOrder.delayed || w.allowances.overlappingHolders {
		return
	}
	if order.Fence < s.lastOrder.Fence || order.Fence == s.lastOrder.Fence && order.holder != s.lastOrder.holder {
		w.fail(holdersOverlap, "%s: %+v after %+v", s.id, order, *s.lastOrder)
	}
	if order.holder != s.lastOrder.holder && w.now.Sub(s.lastOrderAt) < leaseTime {
		w.fail(holdersOverlap, "%s: %+v %s after %+v", s.id, order, w.now.Sub(s.lastOrderAt), *s.lastOrder)
	}
}

// checkAccepted checks that an accepted load fits.
func (w *world) checkAccepted(s *server, order sentOrder) {
	if order.Load && !s.fits(order.Change) {
		w.fail(capacityExceeded, "%s: %+v holding %v", s.id, order, s.loaded)
	}
}

// checkAllLoaded checks that everything wanted is loaded.
func (w *world) checkAllLoaded() {
	for _, reference := range w.missing() {
		w.fail(neverLoaded, "%s, %s after the last fault", reference, w.now.Sub(w.faultsEnd).Round(time.Millisecond))
	}
}
