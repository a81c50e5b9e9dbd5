package keystore

import "slices"

// Membership is a numbered list of the addresses that vote. While a change of the list is under
// way Next holds the list to come, and every quorum needs majorities of both.
type Membership struct {
	Version uint64   `json:"number"`
	Current []string `json:"present"`
	Next    []string `json:"next,omitempty"`
}

// All lists each address once.
func (m Membership) All() []string {
	all := make([]string, 0, len(m.Current)+len(m.Next))
	for _, group := range [][]string{m.Current, m.Next} {
		for _, address := range group {
			if !slices.Contains(all, address) {
				all = append(all, address)
			}
		}
	}
	return all
}

// Has says whether the address is a member, or is to become one.
func (m Membership) Contains(address string) bool {
	return m.IsCurrent(address) || slices.Contains(m.Next, address)
}

// Keeps says whether the address is a present member.
func (m Membership) IsCurrent(address string) bool { return slices.Contains(m.Current, address) }

// Joint says whether a change of the list is under way.
func (m Membership) IsJoint() bool { return len(m.Next) > 0 }

// Quorum says whether those marked are a majority of each list.
func (m Membership) HasQuorum(agreed map[string]bool) bool {
	return isMajority(m.Current, agreed) && (!m.IsJoint() || isMajority(m.Next, agreed))
}

// Covered says whether self has read so many others of each list that it is in, that among them
// is one of every majority that could have been formed with self's lost vote. A member that is
// only to become one has read a majority of the present ones: they hold all that was chosen
// before the change began. It has no vote to lose in the list to come, unless an earlier
// incarnation of it may have caught up already.
func (m Membership) CoversLostVotes(self string, read map[string]bool, hasEarlierIncarnation bool) bool {
	if m.IsCurrent(self) {
		return enoughOthers(m.Current, self, read) && (!slices.Contains(m.Next, self) || enoughOthers(m.Next, self, read))
	}
	return isMajority(m.Current, read) && (!hasEarlierIncarnation || enoughOthers(m.Next, self, read))
}

func isMajority(group []string, agreed map[string]bool) bool {
	return len(group) > 0 && countMarked(group, "", agreed) > len(group)/2
}

func enoughOthers(group []string, self string, read map[string]bool) bool {
	needed := len(group) - (len(group)/2 + 1) + 1
	return countMarked(group, self, read) >= needed
}

func countMarked(group []string, except string, segment map[string]bool) int {
	total := 0
	for _, member := range group {
		if member != except && segment[member] {
			total++
		}
	}
	return total
}
