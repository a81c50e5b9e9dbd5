package modelcheck

import (
	"fmt"
	"slices"
)

// actionKind is the kind of an event in a world.
type actionKind uint8

// The kinds of actions. The subject of an action is a packet, a machine or a proposer.
const (
	actionDeliver actionKind = iota
	actionDuplicate
	actionSync
	actionCrash
	actionWipe
	actionRestart
	actionStartTask
	actionAbandon
	actionAdoptMembership
	actionTick
	actionStepWallClock
)

// action is one event: its subject and, for some kinds, one of several variants.
type action struct {
	kind    actionKind
	subject stateID
	choice  stateID
}

// actions returns the actions that are enabled in a world.
func (m *model) actions(w *world) []action {
	var found []action
	for index, id := range w.network {
		if index > 0 && w.network[index-1] == id {
			continue
		}
		found = append(found, action{kind: actionDeliver, subject: id})
		if m.mayLoseReply(w, id) {
			found = append(found, action{kind: actionDeliver, subject: id, choice: replyLost})
		}
		if w.remaining.Duplicates > 0 && m.packets.get(id).Request != nil {
			found = append(found, action{kind: actionDuplicate, subject: id})
		}
	}
	for index := range w.members {
		found = m.memberActions(w, index, found)
	}
	for index := range w.proposers {
		found = m.proposerActions(w, index, found)
	}
	if w.remaining.Ticks > 0 {
		found = append(found, action{kind: actionTick})
	}
	return found
}

// replyLost is the choice of a delivery or sync whose reply is lost.
const replyLost = 1

// mayLoseReply reports whether losing only the reply is a separate action. If the request does not change the member, that
// is equivalent to losing the request.
func (m *model) mayLoseReply(w *world, id stateID) bool {
	message := m.packets.get(id)
	sender := m.proposers.get(w.proposers[message.Proposer])
	if m.scenario.DelaysReplies || message.Request == nil || !isCurrent(sender, message) {
		return false
	}
	index := m.machine(message.Member)
	return m.handleAtMember(w, index, id).member != w.members[index] && !m.scenario.SeparatesSync
}

func (m *model) memberActions(w *world, index int, found []action) []action {
	staged := len(m.members.get(w.members[index]).Staged)
	if staged > 0 {
		found = append(found, action{kind: actionSync, subject: stateID(index)})
		if len(m.members.get(w.members[index]).Staged[0].Replies) > 0 && !m.scenario.DelaysReplies {
			found = append(found, action{kind: actionSync, subject: stateID(index), choice: replyLost})
		}
	}
	if !slices.Contains(m.scenario.FaultyMachines, m.machines[index]) {
		return found
	}
	if w.remaining.Crashes > 0 {
		for kept := range staged + 1 {
			found = append(found, action{kind: actionCrash, subject: stateID(index), choice: stateID(kept)})
		}
	}
	if w.remaining.Wipes > 0 {
		found = append(found, action{kind: actionWipe, subject: stateID(index)})
	}
	if w.remaining.WallClockSteps > 0 {
		found = append(found, action{kind: actionStepWallClock, subject: stateID(index)})
	}
	return found
}

func (m *model) proposerActions(w *world, index int, found []action) []action {
	client := m.proposers.get(w.proposers[index])
	if client.done() {
		return found
	}
	if client.Phase == phaseIdle {
		if m.mayStartTask(w, client) {
			found = append(found, action{kind: actionStartTask, subject: stateID(index)})
		}
	} else if !client.onLastAttempt() || client.mayEndDigest(m.rules) {
		found = append(found, action{kind: actionAbandon, subject: stateID(index)})
	}
	if w.remaining.Restarts > 0 {
		found = append(found, action{kind: actionRestart, subject: stateID(index)})
	}
	if client.task().Kind == taskCatchUp {
		for other, id := range w.proposers {
			if m.proposers.get(id).Membership.Version > client.Membership.Version {
				found = append(found, action{
					kind:    actionAdoptMembership,
					subject: stateID(index),
					choice:  stateID(other),
				})
			}
		}
	}
	return found
}

// mayStartTask reports whether the preconditions of the proposer's next task are met.
func (m *model) mayStartTask(w *world, client *proposer) bool {
	task := client.task()
	own := m.members.get(w.members[m.machine(client.Machine)])
	switch {
	case task.AfterLabel != "" && !slices.Contains(m.histories.get(w.history).labelsUntil(w.tick), task.AfterLabel):
		return false
	case task.Kind == taskCatchUp:
		return !own.localState.Voting && client.Membership.Contains(client.Machine)
	case task.AfterVote == "":
		return true
	}
	newcomer := m.members.get(w.members[m.machine(task.AfterVote)]).localState
	return newcomer.Voting && newcomer.MembershipVersion == client.Membership.Version
}

// describe returns the text of an action in a trace.
func (m *model) describe(w *world, event action) string {
	subject := int(event.subject)
	switch event.kind {
	case actionDeliver:
		text := "deliver " + m.packets.get(event.subject).String()
		if event.choice == replyLost {
			text += " (its reply is lost)"
		}
		return text
	case actionDuplicate:
		return "deliver a copy of " + m.packets.get(event.subject).String()
	case actionSync:
		text := "disk of " + m.machines[subject] + " syncs a batch"
		if event.choice == replyLost {
			text += " (the reply is lost)"
		}
		return text
	case actionCrash:
		return fmt.Sprintf("machine %s crashes and restarts, %d unsynced batches are kept", m.machines[subject], event.choice)
	case actionWipe:
		return "machine " + m.machines[subject] + " loses its disk and restarts"
	case actionRestart:
		return fmt.Sprintf("proposer %d restarts as a new incarnation", subject)
	case actionStartTask:
		task := m.proposers.get(w.proposers[subject]).task()
		return fmt.Sprintf("proposer %d starts: %s %s %s", subject, task.Kind, task.Key, task.Label)
	case actionAbandon:
		at := m.proposers.get(w.proposers[subject])
		return fmt.Sprintf("proposer %d abandons %s (%s)", subject, at.task().Kind, at.Phase)
	case actionAdoptMembership:
		return fmt.Sprintf("proposer %d adopts the membership of proposer %d", subject, event.choice)
	case actionTick:
		return fmt.Sprintf("time advances to tick %d", w.tick+1)
	default:
		return "wall clock of " + m.machines[subject] + " is set forward by one lease duration"
	}
}
