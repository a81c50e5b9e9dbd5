package replicastate

import (
	"fmt"
	"slices"
	"time"
)

// walkFault is a fault planted into what the holder of the walk does with its knowledge.
type walkFault string

const (
	walkSound               walkFault = ""
	walkNoExpectedSequence  walkFault = "no expected sequence"
	walkEveryReportBelieved walkFault = "every report believed"
	walkKeptAcrossGrants    walkFault = "kept across grants"
	walkUnknownCountsAsFree walkFault = "unknown fate counts as free"
	walkRestartUnnoticed    walkFault = "restart unnoticed"
	walkFenceIgnored        walkFault = "refusal for the fence ignored"
)

// successors are the states that one move leads to.
func (w *walkWorld) successors(fault walkFault) []*walkWorld {
	var next []*walkWorld
	move := func(label string, apply func(w *walkWorld)) {
		copied := w.clone()
		copied.parent, copied.label = w, label
		apply(copied)
		next = append(next, copied)
	}
	w.decisions(fault, move)
	for index, message := range w.messages {
		if !message.arrived {
			move(fmt.Sprintf("arrives: %+v", message.order), func(w *walkWorld) { w.arrive(index, fault) })
			move("no answer", func(w *walkWorld) { w.end(index, NoAnswer, fault) })
			if !message.open {
				move("order lost", func(w *walkWorld) { w.lose(index) })
			}
			continue
		}
		move(fmt.Sprint("answer ", message.outcome), func(w *walkWorld) { w.end(index, message.outcome, fault) })
		move("no answer", func(w *walkWorld) { w.end(index, NoAnswer, fault) })
	}
	if w.known.AskDue(w.now) {
		move("report", func(w *walkWorld) { w.tell(w.replica, fault) })
		if w.before != w.replica {
			move("old report", func(w *walkWorld) { w.tell(w.before, fault) })
		}
	}
	if w.replica.busy {
		move("carried out", func(w *walkWorld) { w.replica.finish() })
	}
	move("tick", func(w *walkWorld) { w.tick() })
	w.troubles(fault, move)
	return next
}

// decisions are the orders that the bounds allow now.
func (w *walkWorld) decisions(fault walkFault, move func(string, func(w *walkWorld))) {
	if w.left.orders == 0 || !w.known.Ready(w.now) {
		return
	}
	sure, may := maskOf(w.known.SurelyHeld()), maskOf(w.known.MayHold())
	for index, reference := range walkReferences {
		change := Change{Load: sure&(1<<index) == 0, Reference: reference}
		lacksModel := walkAdapters&(1<<index) != 0 && sure&1 == 0
		if change.Load && (lacksModel || !(sure | may | 1<<index).fits()) {
			continue
		}
		move(fmt.Sprintf("decided: %+v", change), func(w *walkWorld) {
			if !w.fenced.IsZero() && w.now.Sub(w.fenced) < walkTimings.RefusedPause {
				w.broken = "ordered on after a refusal for the fence"
			}
			order, _ := w.known.Decide(change, w.now)
			w.left.orders--
			w.messages = append(w.messages, walkMessage{order: order, open: true})
		})
	}
}

// troubles are the ends of grants, restarts and orders of others with a higher fence.
func (w *walkWorld) troubles(fault walkFault, move func(string, func(w *walkWorld))) {
	if w.left.grants > 0 {
		move("takeover", func(w *walkWorld) { w.takeOver(fault) })
	}
	if w.left.restarts > 0 {
		move("restart", func(w *walkWorld) { w.restart() })
	}
	if w.left.strangers > 0 && !w.replica.busy {
		for index := range walkReferences[:3] {
			if taken := w.replica.held | 1<<index; taken != w.replica.held && taken.fits() {
				move("order of a stranger", func(w *walkWorld) { w.strange(taken) })
			}
		}
	}
}

// arrive has the replica take an order or refuse it. An order whose call has ended is forgotten, for nobody waits for its
// answer.
func (w *walkWorld) arrive(index int, fault walkFault) {
	message := &w.messages[index]
	w.judge(*message)
	message.outcome = w.replica.take(message.order, fault == walkNoExpectedSequence)
	message.arrived = true
	if message.outcome == Accepted {
		if message.order.Load && !w.replica.next.fits() {
			w.broken = "loaded beyond room"
		}
		w.foreign = w.foreign || message.order.Fence != w.known.fence
	}
	if !message.open {
		w.lose(index)
	}
}

// judge checks an order that arrives as package simulation does.
func (w *walkWorld) judge(message walkMessage) {
	order := message.order
	if order.Fence != w.known.fence {
		return
	}
	held := w.replica.held
	if w.replica.busy {
		held |= w.replica.next
	}
	if order.Load && !w.foreign && !held.changed(order.Change).fits() {
		w.broken = "ordered beyond room"
	}
}

func (r *walkReplica) take(order Order, anySequence bool) Outcome {
	index := slices.Index(walkReferences, order.Reference)
	switch {
	case order.Fence < r.highest:
		return Fenced
	case !r.busy && (r.held&(1<<index) != 0) == order.Load:
		return AlreadyDone
	case r.busy || r.sequence != order.Expected && !anySequence:
		return Conflict
	case order.Load && walkAdapters&(1<<index) != 0 && r.held&1 == 0:
		return Rejected
	}
	r.highest = order.Fence
	r.sequence++
	r.busy, r.next = true, r.held.changed(order.Change)
	return Accepted
}

func (r *walkReplica) finish() { r.held, r.next, r.busy = r.next, 0, false }

// end has the holder hear how its call ended. Without an answer the order may still arrive.
func (w *walkWorld) end(index int, outcome Outcome, fault walkFault) {
	message := &w.messages[index]
	if !message.open {
		return
	}
	message.open, message.ended = false, w.now
	told := outcome
	if fault == walkUnknownCountsAsFree && outcome == NoAnswer || fault == walkFenceIgnored && outcome == Fenced {
		told = NotSent
	}
	if outcome == Fenced {
		w.fenced = w.now
	}
	w.known.Answer(message.order, told, w.now)
	if message.arrived {
		w.lose(index)
	}
}

func (w *walkWorld) lose(index int) { w.messages = slices.Delete(w.messages, index, index+1) }

// tell has the holder ask and hear a report.
func (w *walkWorld) tell(shown walkReplica, fault walkFault) {
	w.known.AskStarted(w.now)
	report := shown.report()
	switch {
	case fault == walkEveryReportBelieved && !report.Busy:
		w.known = *New(walkTimings, w.known.fence, time.Time{}, nil)
	case fault == walkRestartUnnoticed && report.Sequence < w.known.sequence:
		w.known.AskFailed(w.now)
		return
	}
	w.known.Reported(report, w.now)
}

// tick lets time pass. Orders whose calls have ended long ago are lost.
func (w *walkWorld) tick() {
	w.now = w.now.Add(walkTick)
	w.before = w.replica
	w.messages = slices.DeleteFunc(w.messages, func(one walkMessage) bool {
		return !one.open && w.now.Sub(one.ended) >= walkTimings.Settle
	})
}

// takeOver ends the grant and begins the next one; what was sent under the one before may still arrive.
func (w *walkWorld) takeOver(fault walkFault) {
	w.left.grants--
	w.messages = slices.DeleteFunc(w.messages, func(one walkMessage) bool { return one.arrived })
	for index := range w.messages {
		w.messages[index].open = false
		if w.messages[index].ended.IsZero() {
			w.messages[index].ended = w.now
		}
	}
	w.foreign, w.fenced = false, time.Time{}
	fence := w.known.fence + 1
	if fault == walkKeptAcrossGrants {
		w.known.fence = fence
		w.known.Answer(w.known.current, NotSent, w.now)
		return
	}
	w.known = *New(walkTimings, fence, w.now.Add(walkTick), w.replica.held.set())
}

// restart empties the replica. Orders in the network are lost with the connections to its process.
func (w *walkWorld) restart() {
	w.left.restarts--
	w.replica, w.before = walkReplica{}, walkReplica{}
	for index := len(w.messages) - 1; index >= 0; index-- {
		if !w.messages[index].arrived && !w.messages[index].open {
			w.lose(index)
		}
	}
}

// strange has someone with a higher fence load something.
func (w *walkWorld) strange(taken references) {
	w.left.strangers--
	w.replica.sequence++
	w.replica.highest = w.known.fence + 1
	w.replica.held = taken
	w.foreign = true
}
