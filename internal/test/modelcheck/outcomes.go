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

// errCannotStart says that a task was started that mayStartTask holds back.
var errCannotStart = errors.New("nothing happens")

// applyOutcome puts a proposer's new state and what follows from it into the world.
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
			return errors.Errorf("a read tells %s, older than %s which was acknowledged before it began", found.Value, label)
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

// checkProposalUnused checks that no other attempt, of this proposer or another, had the number.
func (m *model) checkProposalUnused(w *world, index int, next *proposer, proposal keystore.ProposalNumber) error {
	used := next.Proposals[:len(next.Proposals)-1]
	for other, id := range w.proposers {
		if other != index {
			used = append(slices.Clone(used), m.proposers.get(id).Proposals...)
		}
	}
	if slices.Contains(used, proposal) {
		return errors.Errorf("ballot %s is used by two attempts", proposal)
	}
	return nil
}

// applyDigest fetches what a digest calls committed, checks it, and lets the member beside learn it.
func (m *model) applyDigest(w *world, next *proposer, observed *history, result outcome) error {
	for _, proposal := range result.digested {
		fetched, found := m.fetch(w, proposal)
		if !found {
			continue
		}
		if err := observed.addCommitted(newCommittedValue(fetched.Key, fetched)); err != nil {
			return errors.Wrap(err, "a look")
		}
		if fetched.Key == keystore.MembershipKey {
			continue
		}
		if label := missingLabel(fetched.Value, result.acknowledgedAtStart); label != "" {
			return errors.Errorf("a look tells %s, older than %s which was acknowledged before it began", fetched.Value, label)
		}
		if next.LastDigest != nil {
			next.LastDigest.Key, next.LastDigest.Value = fetched.Key, fetched.Value
		}
		m.learn(w, next, fetched)
	}
	return nil
}

// learn hands a chosen value to the member beside a proposer, if that one lacks it.
func (m *model) learn(w *world, beside *proposer, chosen keystore.Register) {
	own := m.members.get(w.members[m.machine(beside.Machine)])
	if !m.scenario.Learns || !own.localState.Voting || !chosen.NewerThan(own.Durable[chosen.Key]) {
		return
	}
	chosen.Promised = keystore.ProposalNumber{}
	w.send(m.packets.add(&packet{
		Member:      beside.Machine,
		Proposer:    beside.Index,
		Incarnation: beside.Incarnation,
		Learn:       &chosen,
	}))
}

// fetch finds the value of a proposal on any disk, see keystore.Store.Fetch.
func (m *model) fetch(w *world, proposal keystore.Register) (keystore.Register, bool) {
	for _, member := range w.members {
		register := m.members.get(member).Durable[proposal.Key]
		if register.IsAccepted() && register.SameProposal(proposal) {
			return register, true
		}
	}
	return keystore.Register{}, false
}
