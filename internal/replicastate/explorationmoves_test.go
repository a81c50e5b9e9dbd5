package replicastate

import (
	"fmt"
	"slices"
	"time"
)

// mutation is a defect that is injected into the lease holder's use of Replica, to check that the exploration detects it.
type mutation string

const (
	noMutation                     mutation = ""
	mutationNoExpectedSequence     mutation = "no expected sequence"
	mutationEveryReportAdopted     mutation = "every report adopted"
	mutationKeptAcrossGrants       mutation = "kept across grants"
	mutationNoResponseMeansNotSent mutation = "no response counts as not sent"
	mutationRestartIgnored         mutation = "restart ignored"
	mutationFenceIgnored           mutation = "fenced outcome ignored"
)

// addMove adds the state that a move leads to; apply modifies a copy of the current state.
type addMove func(label string, apply func(s *systemState))

// successors returns the states that are reachable by one move.
func (s *systemState) successors(active mutation) []*systemState {
	var next []*systemState
	move := func(label string, apply func(s *systemState)) {
		copied := s.clone()
		copied.parent, copied.label = s, label
		apply(copied)
		next = append(next, copied)
	}
	s.addDecisionMoves(move)
	s.addMessageMoves(active, move)
	if s.tracked.PollDue(s.now) {
		move("current report", func(s *systemState) { s.poll(s.replica, active) })
		if s.previous != s.replica {
			move("report of the previous tick", func(s *systemState) { s.poll(s.previous, active) })
		}
	}
	if s.replica.busy {
		move("order completed", func(s *systemState) { s.replica.finish() })
	}
	move("tick", func(s *systemState) { s.tick() })
	s.addFaultMoves(active, move)
	return next
}

// addMessageMoves adds the delivery and loss of orders and of their responses.
func (s *systemState) addMessageMoves(active mutation, move addMove) {
	for index, message := range s.messages {
		if !message.arrived {
			move(fmt.Sprintf("order arrives: %+v", message.order), func(s *systemState) { s.arrive(index, active) })
			move("no response", func(s *systemState) { s.endCall(index, NoResponse, active) })
			if !message.open {
				move("order lost", func(s *systemState) { s.drop(index) })
			}
			continue
		}
		move(fmt.Sprint("response ", message.outcome), func(s *systemState) { s.endCall(index, message.outcome, active) })
		move("no answer", func(s *systemState) { s.endCall(index, NoResponse, active) })
	}
}

// addDecisionMoves adds the decisions for orders that the bounds allow now.
func (s *systemState) addDecisionMoves(move addMove) {
	if s.remaining.orders == 0 || !s.tracked.IsReady(s.now) {
		return
	}
	certain, possible := maskFor(s.tracked.CertainlyLoaded()), maskFor(s.tracked.PossiblyLoaded())
	for index, reference := range allReferences {
		change := Change{Load: certain&(1<<index) == 0, Reference: reference}
		lacksModel := adapterMask&(1<<index) != 0 && certain&1 == 0
		if change.Load && (lacksModel || !(certain | possible | 1<<index).fits()) {
			continue
		}
		move(fmt.Sprintf("decided: %+v", change), func(s *systemState) {
			if !s.fencedAt.IsZero() && s.now.Sub(s.fencedAt) < tickTimings.RejectionBackoff {
				s.violation = "order decided during the backoff after a fenced one"
			}
			order, _ := s.tracked.Decide(change, s.now)
			s.remaining.orders--
			s.messages = append(s.messages, orderMessage{order: order, open: true})
		})
	}
}

// addFaultMoves adds takeovers, restarts and loads by another holder with a higher fencing token.
func (s *systemState) addFaultMoves(active mutation, move addMove) {
	if s.remaining.grants > 0 {
		move("takeover", func(s *systemState) { s.takeOver(active) })
	}
	if s.remaining.restarts > 0 {
		move("restart", func(s *systemState) { s.restart() })
	}
	if s.remaining.foreignLoads > 0 && !s.replica.busy {
		for index := range allReferences[:3] {
			if loaded := s.replica.loaded | 1<<index; loaded != s.replica.loaded && loaded.fits() {
				move("foreign load", func(s *systemState) { s.acceptForeignLoad(loaded) })
			}
		}
	}
}

// arrive delivers an order to the replica. If its call has ended, nobody waits for the response and the message is removed.
func (s *systemState) arrive(index int, active mutation) {
	message := &s.messages[index]
	s.checkArrival(*message)
	message.outcome = s.replica.handleOrder(message.order, active == mutationNoExpectedSequence)
	message.arrived = true
	if message.outcome == Accepted {
		if message.order.Load && !s.replica.next.fits() {
			s.violation = "loaded beyond capacity"
		}
		s.foreignOrderAccepted = s.foreignOrderAccepted || message.order.Fence != s.tracked.fence
	}
	if !message.open {
		s.drop(index)
	}
}

// checkArrival checks that an order of the current grant doesn't load beyond capacity, unless the holder could not know
// better. Package simulation has the same check.
func (s *systemState) checkArrival(message orderMessage) {
	order := message.order
	if order.Fence != s.tracked.fence {
		return
	}
	loaded := s.replica.loaded
	if s.replica.busy {
		loaded |= s.replica.next
	}
	if order.Load && !s.foreignOrderAccepted && !loaded.after(order.Change).fits() {
		s.violation = "ordered beyond capacity"
	}
}

func (r *simulatedReplica) handleOrder(order Order, anySequence bool) Outcome {
	index := slices.Index(allReferences, order.Reference)
	switch {
	case order.Fence < r.highestFence:
		return Fenced
	case !r.busy && (r.loaded&(1<<index) != 0) == order.Load:
		return AlreadyDone
	case r.busy || r.sequence != order.ExpectedSequence && !anySequence:
		return Conflict
	case order.Load && adapterMask&(1<<index) != 0 && r.loaded&1 == 0:
		return Rejected
	}
	r.highestFence = order.Fence
	r.sequence++
	r.busy, r.next = true, r.loaded.after(order.Change)
	return Accepted
}

func (r *simulatedReplica) finish() { r.loaded, r.next, r.busy = r.next, 0, false }

// endCall ends an order's call at the holder. An order that has not arrived by then may still arrive.
func (s *systemState) endCall(index int, outcome Outcome, active mutation) {
	message := &s.messages[index]
	if !message.open {
		return
	}
	message.open, message.endedAt = false, s.now
	reported := outcome
	if active == mutationNoResponseMeansNotSent && outcome == NoResponse || active == mutationFenceIgnored && outcome == Fenced {
		reported = NotSent
	}
	if outcome == Fenced {
		s.fencedAt = s.now
	}
	s.tracked.HandleResponse(message.order, reported, s.now)
	if message.arrived {
		s.drop(index)
	}
}

func (s *systemState) drop(index int) { s.messages = slices.Delete(s.messages, index, index+1) }

// poll lets the holder request a report and receive that of the given replica state.
func (s *systemState) poll(shown simulatedReplica, active mutation) {
	s.tracked.PollStarted(s.now)
	report := shown.report()
	switch {
	case active == mutationEveryReportAdopted && !report.Busy:
		s.tracked = *New(tickTimings, s.tracked.fence, time.Time{}, nil)
	case active == mutationRestartIgnored && report.Sequence < s.tracked.sequence:
		s.tracked.PollFailed(s.now)
		return
	}
	s.tracked.HandleReport(report, s.now)
}

// tick advances the time by one tick. Orders whose calls ended longer ago than MaxOrderLifetime are lost.
func (s *systemState) tick() {
	s.now = s.now.Add(tickLength)
	s.previous = s.replica
	s.messages = slices.DeleteFunc(s.messages, func(message orderMessage) bool {
		return !message.open && s.now.Sub(message.endedAt) >= tickTimings.MaxOrderLifetime
	})
}

// takeOver ends the grant and begins the next one. Orders that were sent under the previous one may still arrive.
func (s *systemState) takeOver(active mutation) {
	s.remaining.grants--
	s.messages = slices.DeleteFunc(s.messages, func(message orderMessage) bool { return message.arrived })
	for index := range s.messages {
		s.messages[index].open = false
		if s.messages[index].endedAt.IsZero() {
			s.messages[index].endedAt = s.now
		}
	}
	s.foreignOrderAccepted, s.fencedAt = false, time.Time{}
	fence := s.tracked.fence + 1
	if active == mutationKeptAcrossGrants {
		s.tracked.fence = fence
		s.tracked.HandleResponse(s.tracked.current, NotSent, s.now)
		return
	}
	s.tracked = *New(tickTimings, fence, s.now.Add(tickLength), s.replica.loaded.set())
}

// restart resets the replica. Orders in the network whose calls have ended are lost with the connections to its process.
func (s *systemState) restart() {
	s.remaining.restarts--
	s.replica, s.previous = simulatedReplica{}, simulatedReplica{}
	for index := len(s.messages) - 1; index >= 0; index-- {
		if !s.messages[index].arrived && !s.messages[index].open {
			s.drop(index)
		}
	}
}

// acceptForeignLoad lets the replica execute a load by another holder with a higher fencing token.
func (s *systemState) acceptForeignLoad(loaded references) {
	s.remaining.foreignLoads--
	s.replica.sequence++
	s.replica.highestFence = s.tracked.fence + 1
	s.replica.loaded = loaded
	s.foreignOrderAccepted = true
}
