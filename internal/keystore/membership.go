package keystore

import "slices"

// Membership is a version of the list of voting members, by address.
//
// It changes one member at a time and in two steps, by joint consensus: first to a version that holds the present list
// in Current and the list to come in Next, then to one whose Current is that list. While both are there a quorum needs a
// majority of each. So no quorum of the old list and no quorum of the new one can decide without knowing of each other,
// at whatever time each member learns of the change.
type Membership struct {
	// Version rises by one with each step; 0 is that of a member that knows no list.
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

// Contains says whether the address is a member, or is to become one.
func (m Membership) Contains(address string) bool {
	return m.IsCurrent(address) || slices.Contains(m.Next, address)
}

// IsCurrent says whether the address is a present member.
func (m Membership) IsCurrent(address string) bool { return slices.Contains(m.Current, address) }

// IsJoint says whether a change of the list is under way.
func (m Membership) IsJoint() bool { return len(m.Next) > 0 }

// RolledBack is the membership that ends a joint one with its current members.
func (m Membership) RolledBack() Membership {
	return Membership{Version: m.Version + 1, Current: m.Current}
}

// IsRolledBackBy says whether the other membership ends this joint one with its current members.
func (m Membership) IsRolledBackBy(other Membership) bool {
	return m.IsJoint() && other.equal(m.RolledBack())
}

func (m Membership) equal(other Membership) bool {
	return m.Version == other.Version && slices.Equal(m.Current, other.Current) && slices.Equal(m.Next, other.Next)
}
