package simulation

import (
	"strings"
	"time"

	"ferryspar/internal/replicastate"
)

// invariant names a property that is checked during a run, by its violation.
type invariant string

const (
	// capacityExceeded is an accepted load beyond the capacity for models or adapters.
	capacityExceeded invariant = "load accepted beyond capacity"
	// orderedOverCapacity is an order for such a load, accepted or not, by a holder that could have known better: all orders
	// accepted since its grant began were its own, and none arrived later than the fault model allows.
	orderedOverCapacity invariant = "load ordered beyond capacity"
	// holdersOverlap is an order that is sent too soon after one of another holder, or with a lower fencing token.
	holdersOverlap invariant = "two holders at once"
	// grantMismatch is an order that is sent under another grant than it was decided under.
	grantMismatch invariant = "order sent under another grant"
	// orderedDuringBackoff is an order to a replica that has just rejected one because of its fencing token.
	orderedDuringBackoff invariant = "order decided during the backoff after a fenced one"
	// neverLoaded is a wanted model or adapter that is not loaded at the end of the run.
	neverLoaded invariant = "not loaded at the end"
)

// fits reports whether a load fits beside what is loaded and being loaded.
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

// checkArrival checks the invariants that concern an arriving order.
func (c *cluster) checkArrival(s *server, order sentOrder) {
	if order.Fence != order.decidedFence {
		c.fail(grantMismatch, "%s: decided under %d, sent under %d", s.id, order.decidedFence, order.Fence)
	}
	c.checkHolders(s, order)
	if !order.Load || s.fits(order.Change) {
		return
	}
	switch {
	case s.acceptedForeignOrder(order):
		c.rejectedAfterForeignOrder++
	case c.faultModel.unboundedDelay:
		c.rejectedWithUnboundedDelay++
	default:
		c.fail(orderedOverCapacity, "%s: %+v holding %v", s.id, order, s.loaded)
	}
}

// recordResponse counts the orders that arrived, by the status of the response.
func (c *cluster) recordResponse(order sentOrder, status int) {
	c.responses[status]++
	if order.late {
		c.lateResponses[status]++
	}
}

// acceptedForeignOrder reports whether the server has accepted an order of another grant since the order's own grant began.
func (s *server) acceptedForeignOrder(order sentOrder) bool {
	for _, earlier := range s.accepted {
		if earlier.fence != order.Fence && !earlier.at.Before(order.grantedAt) {
			return true
		}
	}
	return false
}

// checkBackoff checks that no order is decided for a replica within RejectionBackoff after an outcome Fenced.
func (t *trackedReplica) checkBackoff() {
	if !t.fencedAt.IsZero() && t.now().Sub(t.fencedAt) < timings.RejectionBackoff {
		t.node.cluster.fail(orderedDuringBackoff, "%s: under fence %d", t.id, t.fence)
	}
}

// checkHolders checks that the orders of two holders are at least leaseTime apart and that fencing tokens never decrease.
// Orders that the network has delayed are ignored.
func (c *cluster) checkHolders(s *server, order sentOrder) {
	if order.delayed || s.lastOrder == nil || s.lastOrder.delayed || c.faultModel.overlappingHolders {
		return
	}
	if order.Fence < s.lastOrder.Fence || order.Fence == s.lastOrder.Fence && order.holder != s.lastOrder.holder {
		c.fail(holdersOverlap, "%s: %+v after %+v", s.id, order, *s.lastOrder)
	}
	if order.holder != s.lastOrder.holder && c.now.Sub(s.lastOrderAt) < leaseTime {
		c.fail(holdersOverlap, "%s: %+v %s after %+v", s.id, order, c.now.Sub(s.lastOrderAt), *s.lastOrder)
	}
}

// checkAccepted checks that an accepted load fits.
func (c *cluster) checkAccepted(s *server, order sentOrder) {
	if order.Load && !s.fits(order.Change) {
		c.fail(capacityExceeded, "%s: %+v holding %v", s.id, order, s.loaded)
	}
}

// checkAllLoaded checks that everything that is wanted is loaded.
func (c *cluster) checkAllLoaded() {
	for _, reference := range c.missing() {
		c.fail(neverLoaded, "%s, %s after the last fault", reference, c.now.Sub(c.faultsEnd).Round(time.Millisecond))
	}
}
