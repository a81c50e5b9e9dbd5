package replicastate

import (
	"fmt"
	"slices"
	"time"
)

// plantedFault is a defect planted into what the lease holder does with its knowledge.
type plantedFault string

const (
	noFault                  plantedFault = ""
	faultNoExpectedSequence  plantedFault = "no expected sequence"
	faultEveryReportBelieved plantedFault = "every report believed"
	faultKeptAcrossGrants    plantedFault = "kept across grants"
	faultUnknownCountsAsFree plantedFault = "unknown fate counts as free"
	faultRestartUnnoticed    plantedFault = "restart unnoticed"
	faultFenceIgnored        plantedFault = "rejection for the fence ignored"
)

// addMove adds the state that a move leads to; apply changes a copy of the present state.
type addMove func(label string, apply func(w *walkWorld))

// successors returns the states that one move leads to.
func (w *walkWorld) successors(fault plantedFault) []*walkWorld {
	var next []*walkWorld
	move := func(label string, apply func(w *walkWorld)) {
		copied := w.clone()
		copied.parent, copied.label = w, label
		apply(copied)
		next = append(next, copied)
	}
	w.addDecisionMoves(move)
	w.addMessageMoves(fault, move)
	if w.tracked.PollDue(w.now) {
		move("report", func(w *walkWorld) { w.poll(w.replica, fault) })
		if w.previous != w.replica {
			move("old report", func(w *walkWorld) { w.poll(w.previous, fault) })
		}
	}
	if w.replica.busy {
		move("carried out", func(w *walkWorld) { w.replica.finish() })
	}
	move("tick", func(w *walkWorld) { w.tick() })
	w.addFaultMoves(fault, move)
	return next
}

// addMessageMoves adds the arrivals and losses of orders and of their answers.
func (w *walkWorld) addMessageMoves(fault plantedFault, move addMove) {
	for index, message := range w.messages {
		if !message.arrived {
			move(fmt.Sprintf("arrives: %+v", message.order), func(w *walkWorld) { w.arrive(index, fault) })
			move("no answer", func(w *walkWorld) { w.endCall(index, NoResponse, fault) })
			if !message.open {
				move("order lost", func(w *walkWorld) { w.drop(index) })
			}
			continue
		}
		move(fmt.Sprint("answer ", message.outcome), func(w *walkWorld) { w.endCall(index, message.outcome, fault) })
		move("no answer", func(w *walkWorld) { w.endCall(index, NoResponse, fault) })
	}
}

// addDecisionMoves adds the orders that the bounds allow now.
func (w *walkWorld) addDecisionMoves(move addMove) {
	if w.remaining.orders == 0 || !w.tracked.IsReady(w.now) {
		return
	}
	certain, possible := maskFor(w.tracked.CertainlyLoaded()), maskFor(w.tracked.PossiblyLoaded())
	for index, reference := range walkReferences {
		change := Change{Load: certain&(1<<index) == 0, Reference: reference}
		lacksModel := walkAdapters&(1<<index) != 0 && certain&1 == 0
		if change.Load && (lacksModel || !(certain | possible | 1<<index).fits()) {
			continue
		}
		move(fmt.Sprintf("decided: %+v", change), func(w *walkWorld) {
			if !w.fencedAt.IsZero() && w.now.Sub(w.fencedAt) < walkTimings.RejectionBackoff {
				w.violation = "sent an order after a rejection for the fence"
			}
			order, _ := w.tracked.Decide(change, w.now)
			w.remaining.orders--
			w.messages = append(w.messages, walkMessage{order: order, open: true})
		})
	}
}

// addFaultMoves adds the ends of grants, restarts and orders of others with a higher fence.
func (w *walkWorld) addFaultMoves(fault plantedFault, move addMove) {
	if w.remaining.grants > 0 {
		move("takeover", func(w *walkWorld) { w.takeOver(fault) })
	}
	if w.remaining.restarts > 0 {
		move("restart", func(w *walkWorld) { w.restart() })
	}
	if w.remaining.strangers > 0 && !w.replica.busy {
		for index := range walkReferences[:3] {
			if taken := w.replica.loaded | 1<<index; taken != w.replica.loaded && taken.fits() {
				move("order of a stranger", func(w *walkWorld) { w.loadByStranger(taken) })
			}
		}
	}
}

// arrive has the replica accept or reject an order. An order whose call has ended is forgotten, for nobody waits for its
// response.
func (w *walkWorld) arrive(index int, fault plantedFault) {
	message := &w.messages[index]
	w.checkArrival(*message)
	message.outcome = w.replica.handleOrder(message.order, fault == faultNoExpectedSequence)
	message.arrived = true
	if message.outcome == Accepted {
		if message.order.Load && !w.replica.next.fits() {
			w.violation = "loaded beyond capacity"
		}
		w.foreignOrderTaken = w.foreignOrderTaken || message.order.Fence != w.tracked.fence
	}
	if !message.open {
		w.drop(index)
	}
}

// checkArrival checks an order that arrives as package simulation does.
func (w *walkWorld) checkArrival(message walkMessage) {
	order := message.order
	if order.Fence != w.tracked.fence {
		return
	}
	loaded := w.replica.loaded
	if w.replica.busy {
		loaded |= w.replica.next
	}
	if order.Load && !w.foreignOrderTaken && !loaded.changed(order.Change).fits() {
		w.violation = "ordered beyond capacity"
	}
}

func (r *walkReplica) handleOrder(order Order, anySequence bool) Outcome {
	index := slices.Index(walkReferences, order.Reference)
	switch {
	case order.Fence < r.highestFence:
		return Fenced
	case !r.busy && (r.loaded&(1<<index) != 0) == order.Load:
		return AlreadyDone
	case r.busy || r.sequence != order.ExpectedSequence && !anySequence:
		return Conflict
	case order.Load && walkAdapters&(1<<index) != 0 && r.loaded&1 == 0:
		return Rejected
	}
	r.highestFence = order.Fence
	r.sequence++
	r.busy, r.next = true, r.loaded.changed(order.Change)
	return Accepted
}

func (r *walkReplica) finish() { r.loaded, r.next, r.busy = r.next, 0, false }

// endCall ends an order's call at the holder. Without an answer the order may still arrive.
func (w *walkWorld) endCall(index int, outcome Outcome, fault plantedFault) {
	message := &w.messages[index]
	if !message.open {
		return
	}
	message.open, message.endedAt = false, w.now
	reported := outcome
	if fault == faultUnknownCountsAsFree && outcome == NoResponse || fault == faultFenceIgnored && outcome == Fenced {
		reported = NotSent
	}
	if outcome == Fenced {
		w.fencedAt = w.now
	}
	w.tracked.HandleResponse(message.order, reported, w.now)
	if message.arrived {
		w.drop(index)
	}
}

func (w *walkWorld) drop(index int) { w.messages = slices.Delete(w.messages, index, index+1) }

// poll has the holder request and receive a report.
func (w *walkWorld) poll(shown walkReplica, fault plantedFault) {
	w.tracked.PollStarted(w.now)
	report := shown.report()
	switch {
	case fault == faultEveryReportBelieved && !report.Busy:
		w.tracked = *New(walkTimings, w.tracked.fence, time.Time{}, nil)
	case fault == faultRestartUnnoticed && report.Sequence < w.tracked.sequence:
		w.tracked.PollFailed(w.now)
		return
	}
	w.tracked.HandleReport(report, w.now)
}

// tick lets time pass. Orders whose calls have ended long ago are lost.
func (w *walkWorld) tick() {
	w.now = w.now.Add(walkTick)
	w.previous = w.replica
	w.messages = slices.DeleteFunc(w.messages, func(message walkMessage) bool {
		return !message.open && w.now.Sub(message.endedAt) >= walkTimings.MaxOrderLifetime
	})
}

// takeOver ends the grant and begins the next one; what was sent under the one before may still arrive.
func (w *walkWorld) takeOver(fault plantedFault) {
	w.remaining.grants--
	w.messages = slices.DeleteFunc(w.messages, func(message walkMessage) bool { return message.arrived })
	for index := range w.messages {
		w.messages[index].open = false
		if w.messages[index].endedAt.IsZero() {
			w.messages[index].endedAt = w.now
		}
	}
	w.foreignOrderTaken, w.fencedAt = false, time.Time{}
	fence := w.tracked.fence + 1
	if fault == faultKeptAcrossGrants {
		w.tracked.fence = fence
		w.tracked.HandleResponse(w.tracked.current, NotSent, w.now)
		return
	}
	w.tracked = *New(walkTimings, fence, w.now.Add(walkTick), w.replica.loaded.set())
}

// restart empties the replica. Orders in the network are lost with the connections to its process.
func (w *walkWorld) restart() {
	w.remaining.restarts--
	w.replica, w.previous = walkReplica{}, walkReplica{}
	for index := len(w.messages) - 1; index >= 0; index-- {
		if !w.messages[index].arrived && !w.messages[index].open {
			w.drop(index)
		}
	}
}

// loadByStranger has someone with a higher fence load something.
func (w *walkWorld) loadByStranger(taken references) {
	w.remaining.strangers--
	w.replica.sequence++
	w.replica.highestFence = w.tracked.fence + 1
	w.replica.loaded = taken
	w.foreignOrderTaken = true
}
