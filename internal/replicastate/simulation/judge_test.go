package simulation

import (
	"strings"
	"time"

	"ferryspar/internal/replicastate"
)

// rule is what a play may break.
type rule string

const (
	// overRoom is an accepted load beyond room or places.
	overRoom rule = "LIMIT"
	// refusedOverRoom is such a load, refused or not, by a holder that could know better: all orders taken since its
	// grant began are its own, and nothing arrived later than the bounds.
	refusedOverRoom rule = "LIMIT although refused"
	// turns is a holder that orders too soon after another, or under a lower fence.
	turns rule = "ONE"
	// grantMixed is an order under another grant than it was decided under.
	grantMixed rule = "grant mixed"
	// impatient is an order to a replica that has just refused one for its fence.
	impatient rule = "ordered on after a refusal for the fence"
	// notLoaded is something wanted that is not loaded in the end.
	notLoaded rule = "not loaded in the end"
)

// fits tells whether a load finds room and a place beside what is there and on its way.
func (s *server) fits(change replicastate.Change) bool {
	total, places := 0.0, 0
	counted := map[string]bool{change.Reference: true}
	for reference := range s.held {
		counted[reference] = true
	}
	if s.busy != nil && s.busy.Load {
		counted[s.busy.Reference] = true
	}
	for reference := range counted {
		total += sizeOf(reference)
		if strings.Contains(reference, "/") {
			places++
		}
	}
	return total <= serverRoom && (places <= serverPlaces || !strings.Contains(change.Reference, "/"))
}

// judge checks the rules for every order that arrives.
func (w *world) judge(s *server, order instruction) {
	if order.Fence != order.decided {
		w.fail(grantMixed, "%s: decided under %d, sent under %d", s.id, order.decided, order.Fence)
	}
	w.judgeTurns(s, order)
	if !order.Load || s.fits(order.Change) {
		return
	}
	switch {
	case s.takenFromOthers(order):
		w.refusedUnaware++
	case w.bounds.beyond:
		w.refusedBeyond++
	default:
		w.fail(refusedOverRoom, "%s: %+v holding %v", s.id, order, s.held)
	}
}

// count notes an order that arrived.
func (w *world) count(order instruction, status int) {
	w.answers[status]++
	if order.late {
		w.lateAnswers[status]++
	}
}

// takenFromOthers tells whether the server has taken orders of another grant since that of the order began.
func (s *server) takenFromOthers(order instruction) bool {
	for _, one := range s.taken {
		if one.fence != order.Fence && !one.at.Before(order.since) {
			return true
		}
	}
	return false
}

// judgePatience checks that a replica is left alone for a while once it has refused an order for its fence.
func (k *knownReplica) judgePatience() {
	if !k.fencedAt.IsZero() && k.now().Sub(k.fencedAt) < refusedPause {
		k.daemon.world.fail(impatient, "%s: under fence %d", k.id, k.fence)
	}
}

// judgeTurns checks that no two holders order within the length of a lease and that fences rise. What a cut has
// released doesn't count.
func (w *world) judgeTurns(s *server, order instruction) {
	if order.released || s.last == nil || s.last.released || w.bounds.rushed {
		return
	}
	if order.Fence < s.last.Fence || order.Fence == s.last.Fence && order.holder != s.last.holder {
		w.fail(turns, "%s: %+v after %+v", s.id, order, *s.last)
	}
	if order.holder != s.last.holder && w.now.Sub(s.lastAt) < leaseTime {
		w.fail(turns, "%s: %+v %s after %+v", s.id, order, w.now.Sub(s.lastAt), *s.last)
	}
}

// judgeAccepted checks that an accepted load finds room.
func (w *world) judgeAccepted(s *server, order instruction) {
	if order.Load && !s.fits(order.Change) {
		w.fail(overRoom, "%s: %+v holding %v", s.id, order, s.held)
	}
}

// judgeEnd checks that all that is wanted is loaded.
func (w *world) judgeEnd() {
	for _, reference := range w.missing() {
		w.fail(notLoaded, "%s, %s after the last trouble", reference, w.now.Sub(w.troublesEnd).Round(time.Millisecond))
	}
}
