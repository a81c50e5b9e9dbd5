package modelcheck

import (
	"slices"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
)

// startTask starts the next task of a proposer.
func (m *model) startTask(w *world, index int) error {
	client := m.proposers.get(w.proposers[index])
	next, result, able := client.start(m.view(w, client))
	if !able {
		return errCannotStart
	}
	return m.applyOutcome(w, index, next, result)
}

// errCannotStart means that a task was started although mayStartTask does not allow it.
var errCannotStart = errors.New("task cannot start: its precondition is not met")

// applyOutcome stores a proposer's new state in the world, sends its packets, and records and checks what it concluded.
func (m *model) applyOutcome(w *world, index int, next *proposer, result outcome) error {
	for _, message := range result.packets {
		w.send(m.packets.add(&message))
	}
	if !result.proposal.IsZero() {
		if err := m.checkProposalUnused(w, index, next, result.proposal); err != nil {
			return err
		}
	}
	observed := m.histories.get(w.history).clone()
	for _, found := range result.committed {
		if err := observed.addCommitted(found); err != nil {
			return err
		}
		if label := missingLabel(found.Value, result.acknowledgedAtStart); label != "" {
			return errors.Errorf("a read returns %s, which lacks %s that was acknowledged before the read began", found.Value, label)
		}
	}
	if err := m.applyDigest(w, next, observed, result); err != nil {
		return err
	}
	if result.acknowledged != "" {
		observed.acknowledge(result.acknowledged, w.tick)
	}
	w.history = m.histories.add(observed)
	w.proposers[index] = m.proposers.add(next)
	return nil
}

// checkProposalUnused checks that no other attempt, of this proposer or another, used the proposal number.
func (m *model) checkProposalUnused(w *world, index int, next *proposer, proposal keystore.ProposalNumber) error {
	used := next.Proposals[:len(next.Proposals)-1]
	for other, id := range w.proposers {
		if other != index {
			used = append(slices.Clone(used), m.proposers.get(id).Proposals...)
		}
	}
	if slices.Contains(used, proposal) {
		return errors.Errorf("proposal number %s is used by two attempts", proposal)
	}
	return nil
}

// applyDigest fetches the values that a digest found committed, checks them, and passes them to the member on the same
// machine.
func (m *model) applyDigest(w *world, next *proposer, observed *history, result outcome) error {
	for _, proposal := range result.digestProposals {
		fetched, found := m.fetch(w, proposal)
		if !found {
			continue
		}
		if err := observed.addCommitted(newCommittedValue(fetched.Key, fetched)); err != nil {
			return errors.Wrap(err, "digest")
		}
		if fetched.Key == keystore.MembershipKey {
			continue
		}
		if label := missingLabel(fetched.Value, result.acknowledgedAtStart); label != "" {
			return errors.Errorf("a digest returns %s, which lacks %s that was acknowledged before the digest began", fetched.Value, label)
		}
		if next.LastDigest != nil {
			next.LastDigest.Key, next.LastDigest.Value = fetched.Key, fetched.Value
		}
		m.learn(w, next, fetched)
	}
	return nil
}

// learn sends a chosen value to the member on a proposer's machine, if that member has an older one.
func (m *model) learn(w *world, learner *proposer, chosen keystore.Register) {
	own := m.members.get(w.members[m.machine(learner.Machine)])
	if !m.scenario.Learns || !own.localState.Voting || !chosen.NewerThan(own.Durable[chosen.Key]) {
		return
	}
	chosen.Promised = keystore.ProposalNumber{}
	w.send(m.packets.add(&packet{
		Member:      learner.Machine,
		Proposer:    learner.Index,
		Incarnation: learner.Incarnation,
		Learn:       &chosen,
	}))
}

// fetch returns the value of a proposal from any disk that has it, see keystore.Store.Fetch.
func (m *model) fetch(w *world, proposal keystore.Register) (keystore.Register, bool) {
	for _, member := range w.members {
		register := m.members.get(member).Durable[proposal.Key]
		if register.IsAccepted() && register.SameProposal(proposal) {
			return register, true
		}
	}
	return keystore.Register{}, false
}
