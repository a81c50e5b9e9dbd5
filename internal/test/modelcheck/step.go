package modelcheck

import (
	"slices"

	"ferryspar/internal/keystore"
)

// apply returns the world after an action, and an error if an invariant fails there.
func (m *model) apply(w *world, event action) (*world, error) {
	next := w.clone()
	err := m.execute(next, event)
	if err == nil && event.kind != actionWipe {
		err = m.checkMemberships(w, next)
	}
	if err == nil {
		err = m.check(next)
	}
	if err == nil {
		m.dropIrrelevant(next)
	}
	return next, err
}

// execute applies an action to the world in place.
func (m *model) execute(w *world, event action) error {
	subject := int(event.subject)
	switch event.kind {
	case actionDeliver, actionDuplicate:
		if event.kind == actionDuplicate {
			w.remaining.Duplicates--
		} else {
			at, _ := slices.BinarySearch(w.network, event.subject)
			w.network = slices.Delete(w.network, at, at+1)
		}
		return m.deliver(w, event.subject, event.choice == replyLost)
	case actionSync:
		return m.sync(w, subject, event.choice == replyLost)
	case actionCrash:
		w.remaining.Crashes--
		crashed := m.members.get(w.members[subject]).crash(int(event.choice), m.now(w, subject))
		return m.restartMachine(w, subject, crashed)
	case actionWipe:
		w.remaining.Wipes--
		return m.restartMachine(w, subject, m.members.get(w.members[subject]).wipe(m.rules, m.now(w, subject)))
	case actionRestart:
		w.remaining.Restarts--
		m.restartProposer(w, subject, keystore.Membership{})
	case actionStartTask:
		return m.startTask(w, subject)
	case actionAbandon:
		return m.abandonAttempt(w, subject)
	case actionAdoptMembership:
		next := m.proposers.get(w.proposers[subject]).clone()
		next.adopt(m.proposers.get(w.proposers[event.choice]).Membership)
		w.proposers[subject] = m.proposers.add(next)
	case actionTick:
		w.remaining.Ticks--
		w.tick++
		m.dropExpired(w)
	case actionStepWallClock:
		w.remaining.WallClockSteps--
		w.wallClockOffsets[subject] += m.scenario.LeaseTicks
	}
	return nil
}

// deliver delivers a packet to its receiver. Unless the scenario separates a step from its sync, the disk syncs at once.
func (m *model) deliver(w *world, id stateID, lost bool) error {
	message := m.packets.get(id)
	if message.Reply != nil {
		return m.receive(w, id)
	}
	index := m.machine(message.Member)
	handled := m.handleAtMember(w, index, id)
	w.members[index] = handled.member
	if err := m.sendReplies(w, handled.replies, lost); err != nil {
		return err
	}
	if !m.scenario.SeparatesSync && len(m.members.get(handled.member).Staged) > 0 {
		return m.sync(w, index, lost)
	}
	return nil
}

// sendReplies sends replies to their proposers. Unless the scenario delays replies, they arrive at once or never. That omits
// no behaviour where no step depends on the arrival time of a reply: until then its proposer does nothing, and the requests
// that the proposer sends on it may be in transit for as long as the reply could have been. A late rejection is equivalent
// to a late request, as neither changes the member.
func (m *model) sendReplies(w *world, replies []stateID, lost bool) error {
	for _, reply := range replies {
		if m.scenario.DelaysReplies {
			w.send(reply)
			continue
		}
		if lost {
			continue
		}
		if err := m.receive(w, reply); err != nil {
			return err
		}
	}
	return nil
}

// handleAtMember returns the effect of a packet at a member.
func (m *model) handleAtMember(w *world, index int, id stateID) handleResult {
	now := m.now(w, index)
	cacheKey := handleKey{w.members[index], id, int(now.Sub(epoch) / Tick)}
	if known, found := m.handled[cacheKey]; found {
		return known
	}
	next, replies := m.members.get(cacheKey.member).handle(m.rules, *m.packets.get(id), now)
	result := handleResult{member: m.members.add(next)}
	for _, reply := range replies {
		result.replies = append(result.replies, m.packets.add(&reply))
	}
	m.handled[cacheKey] = result
	return result
}

// sync makes the oldest staged batch of a member durable.
func (m *model) sync(w *world, index int, lost bool) error {
	cacheKey := handleKey{w.members[index], syncPacket, 0}
	synced, known := m.handled[cacheKey]
	if !known {
		next, replies := m.members.get(w.members[index]).sync()
		synced.member = m.members.add(next)
		for _, reply := range replies {
			synced.replies = append(synced.replies, m.packets.add(&reply))
		}
		m.handled[cacheKey] = synced
	}
	w.members[index] = synced.member
	if err := m.observeCommitted(w); err != nil {
		return err
	}
	return m.sendReplies(w, synced.replies, lost)
}

// abandonAttempt makes a proposer stop waiting for replies.
func (m *model) abandonAttempt(w *world, index int) error {
	at := m.proposers.get(w.proposers[index])
	next := at.clone()
	var result outcome
	if at.mayEndDigest(m.rules) {
		result = next.completeQuery(m.view(w, at), true)
	} else {
		next.failAttempt()
	}
	return m.applyOutcome(w, index, next, result)
}

// restartMachine restarts a machine with the given state of its member and new incarnations of its proposers.
func (m *model) restartMachine(w *world, index int, next *member) error {
	w.members[index] = m.members.add(next)
	for number, id := range w.proposers {
		if m.proposers.get(id).Machine == m.machines[index] {
			m.restartProposer(w, number, next.membership)
			m.resetMembership(w, number, next)
		}
	}
	return m.observeCommitted(w)
}

// resetMembership clears the membership of a proposer that will catch up, if its disk holds none.
func (m *model) resetMembership(w *world, index int, own *member) {
	if own.membership.Version > 0 || !m.scenario.forgetsMembership(m.scenario.Clients[index]) {
		return
	}
	next := m.proposers.get(w.proposers[index]).clone()
	next.Membership = keystore.Membership{}
	w.proposers[index] = m.proposers.add(next)
}

func (m *model) restartProposer(w *world, index int, membership keystore.Membership) {
	w.proposers[index] = m.proposers.add(m.proposers.get(w.proposers[index]).restart(membership))
}

// dropExpired drops expired lease state from each member.
func (m *model) dropExpired(w *world) {
	for index, id := range w.members {
		next := m.members.get(id).clone()
		next.dropExpired(m.now(w, index))
		w.members[index] = m.members.add(next)
	}
}
