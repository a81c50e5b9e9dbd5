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

// observeCommitted records what a digest by anyone would conclude at this moment: a proposal that a quorum of voting
// members hold alike on their disks, under any membership that one of them knows.
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

// isCommitted says whether a quorum of the membership hold the proposal on their disks.
func (m *model) isCommitted(w *world, membership keystore.Membership, register keystore.Register) bool {
	alike := map[string]bool{}
	for index, id := range w.members {
		other := m.members.get(id)
		counts := other.localState.Voting && other.membership.Version <= membership.Version
		alike[m.machines[index]] = counts && other.Durable[register.Key].SameProposal(register)
	}
	return membership.HasQuorum(alike)
}

// check checks what must hold in each world at each time.
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

// checkMemberships: a member never goes back to an older membership.
func (m *model) checkMemberships(before, after *world) error {
	for index, id := range after.members {
		former := m.members.get(before.members[index]).membership
		present := m.members.get(id).membership
		if present.Version < former.Version {
			return errors.Errorf("%s goes back from list %d to %d", m.machines[index], former.Version, present.Version)
		}
	}
	return nil
}

// checkLeases: no two holders, each by its own counting, hold one lease at the same moment.
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

// checkDigests: an answer from a digest lacks nothing that was acknowledged longer ago than digests are valid.
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
			return errors.Errorf("%s answers %s at time %d, %s was acknowledged %d steps or more before",
				client.Machine, client.LastDigest.Value, w.tick, label, ticks)
		}
	}
	return nil
}

// reached names the labels acknowledged in any world, and the memberships on any disk.
func (m *model) reached() []string {
	found := map[string]bool{}
	for _, value := range m.histories.values {
		for _, label := range value.labelsUntil(noTick) {
			found[label] = true
		}
	}
	for _, value := range m.members.values {
		found[fmt.Sprintf("list-%d", value.membership.Version)] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// noTick is later than any tick.
const noTick = math.MaxInt
