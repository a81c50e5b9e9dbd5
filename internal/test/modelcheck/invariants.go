package modelcheck

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
)

// observeCommitted records what any digest would find committed at this moment: each proposal that a quorum of voting
// members hold on their disks, under any membership that one of them knows.
func (m *model) observeCommitted(w *world) error {
	observed := m.histories.get(w.history)
	var next *history
	for _, id := range w.members {
		voter := m.members.get(id)
		for key, register := range voter.Durable {
			if !register.IsAccepted() || observed.contains(register) || !m.isCommitted(w, voter.membership, register) {
				continue
			}
			if next == nil {
				next = observed.clone()
			}
			if err := next.addCommitted(newCommittedValue(key, register)); err != nil {
				return err
			}
		}
	}
	if next != nil {
		w.history = m.histories.add(next)
	}
	return nil
}

// isCommitted reports whether a quorum of the membership hold the proposal on their disks.
func (m *model) isCommitted(w *world, membership keystore.Membership, register keystore.Register) bool {
	holders := map[string]bool{}
	for index, id := range w.members {
		other := m.members.get(id)
		counts := other.localState.Voting && other.membership.Version <= membership.Version
		holders[m.machines[index]] = counts && other.Durable[register.Key].SameProposal(register)
	}
	return membership.HasQuorum(holders)
}

// check checks the invariants that must hold in each world.
func (m *model) check(w *world) error {
	if m.scenario.LeaseTicks > 0 {
		if err := m.checkLeases(w); err != nil {
			return err
		}
	}
	if m.scenario.DigestValidityTicks > 0 {
		return m.checkDigests(w)
	}
	return nil
}

// checkMemberships checks that no member goes back to an older membership.
func (m *model) checkMemberships(before, after *world) error {
	for index, id := range after.members {
		former := m.members.get(before.members[index]).membership
		present := m.members.get(id).membership
		if present.Version < former.Version {
			return errors.Errorf("%s goes back from membership version %d to %d", m.machines[index], former.Version, present.Version)
		}
	}
	return nil
}

// checkLeases checks that no two proposers hold one lease at the same moment, each by its own clock.
func (m *model) checkLeases(w *world) error {
	holders := map[string]string{}
	for _, id := range w.proposers {
		client := m.proposers.get(id)
		if client.Lease == nil || !m.now(w, m.machine(client.Machine)).Before(client.Lease.Until) {
			continue
		}
		if other, taken := holders[client.Lease.Key]; taken {
			return errors.Errorf("%s is held by %s and %s at once", client.Lease.Key, other, client.Machine)
		}
		holders[client.Lease.Key] = client.Machine
	}
	return nil
}

// checkDigests checks that an answer from a cached digest includes every change that was acknowledged longer ago than a
// digest is valid.
func (m *model) checkDigests(w *world) error {
	for _, id := range w.proposers {
		client := m.proposers.get(id)
		if client.LastDigest == nil || client.LastDigest.Key == "" {
			continue
		}
		ticks := m.scenario.DigestValidityTicks
		now := m.now(w, m.machine(client.Machine))
		if !m.rules.IsFresh(client.LastDigest.Started, client.LastDigest.Answered, now, time.Duration(ticks)*Tick) {
			continue
		}
		acknowledged := m.histories.get(w.history).labelsUntil(w.tick - ticks)
		if label := missingLabel(client.LastDigest.Value, acknowledged); label != "" {
			return errors.Errorf("%s answers %s at tick %d, but %s was acknowledged %d ticks or more before",
				client.Machine, client.LastDigest.Value, w.tick, label, ticks)
		}
	}
	return nil
}

// reached returns the labels that were acknowledged in some world, and the versions of the memberships on any disk.
func (m *model) reached() []string {
	found := map[string]bool{}
	for _, value := range m.histories.values {
		for _, label := range value.labelsUntil(maxTick) {
			found[label] = true
		}
	}
	for _, value := range m.members.values {
		found[fmt.Sprintf("list-%d", value.membership.Version)] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// maxTick is later than any tick.
const maxTick = math.MaxInt
