package modelcheck

// receive delivers a reply to its proposer.
func (m *model) receive(w *world, id stateID) error {
	message := m.packets.get(id)
	index := message.Proposer
	at := m.proposers.get(w.proposers[index])
	if message.Incarnation != at.Incarnation || at.done() {
		return nil
	}
	machine := m.machine(at.Machine)
	cacheKey := receiveKey{proposer: w.proposers[index], packet: id, history: w.history, now: w.tick}
	if at.task().Kind == taskCatchUp {
		cacheKey.own = w.members[machine]
	}
	if known, found := m.received[cacheKey]; found && w.wallClockOffsets[machine] == 0 {
		w.proposers[index], w.history = known.proposer, known.history
		for _, sent := range known.packets {
			w.send(sent)
		}
		return nil
	}
	next, result := at.receive(m.view(w, at), *message)
	if err := m.applyOutcome(w, index, next, result); err != nil {
		return err
	}
	hasOtherEffects := !result.proposal.IsZero() || len(result.digestProposals) > 0
	if !hasOtherEffects && w.wallClockOffsets[machine] == 0 {
		m.cacheResult(cacheKey, w, result, index)
	}
	return nil
}

// cacheResult caches a result that depends on nothing but the fields of receiveKey.
func (m *model) cacheResult(cacheKey receiveKey, w *world, result outcome, index int) {
	kept := receiveResult{proposer: w.proposers[index], history: w.history}
	for _, sent := range result.packets {
		kept.packets = append(kept.packets, m.packets.add(&sent))
	}
	m.received[cacheKey] = kept
}
