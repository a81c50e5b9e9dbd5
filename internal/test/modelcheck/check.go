package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
)

// observe notes what a look by anyone would conclude at this moment: a proposal that a quorum
// of voting members hold alike on their disks, under any list that one of them knows.
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
			if err := next.addCommitted(committedValue{key, register.AcceptedProposal, register.Sequence, register.Value}); err != nil {
				return err
			}
		}
	}
	if next != nil {
		w.history = m.histories.add(next)
	}
	return nil
}

func (m *model) isCommitted(w *world, membership keystore.Membership, register keystore.Register) bool {
	alike := map[string]bool{}
	for index, id := range w.members {
		other := m.members.get(id)
		if other.localState.Voting && other.membership.Version <= membership.Version && other.Durable[register.Key].SameProposal(register) {
			alike[m.machines[index]] = true
		}
	}
	return membership.HasQuorum(alike)
}

// check looks at what must hold in each world at each time.
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

// checkMemberships: a member never goes back to an older list.
func (m *model) checkMemberships(before, after *world) error {
	for index, id := range after.members {
		former, present := m.members.get(before.members[index]).membership, m.members.get(id).membership
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

// checkDigests: an answer from a look lacks nothing that was acknowledged longer ago than looks
// are valid.
func (m *model) checkDigests(w *world) error {
	for _, id := range w.proposers {
		client := m.proposers.get(id)
		if client.LastDigest == nil || client.LastDigest.Key == "" {
			continue
		}
		validity := m.scenario.DigestValidityTicks
		now := m.now(w, m.machine(client.Machine))
		if !m.rules.IsFresh(client.LastDigest.Started, client.LastDigest.Answered, now, time.Duration(validity)*Tick) {
			continue
		}
		if label := missingLabel(client.LastDigest.Value, m.histories.get(w.history).labelsUntil(w.tick-validity)); label != "" {
			return errors.Errorf("%s answers %s at time %d, %s was acknowledged %d steps or more before",
				client.Machine, client.LastDigest.Value, w.tick, label, validity)
		}
	}
	return nil
}

// frontierEntry names the marks acknowledged in any world, and the lists on any disk.
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

const noTick = int(^uint(0) >> 1)
