package keystore

import "slices"

// Membership is a version of the list of voting members, by address.
//
// It changes one member at a time and in two steps, by joint consensus: first to a joint version, with the present list
// in Current and the future list in Next, then to a version whose Current is that list. Under a joint membership a
// quorum needs a majority of both lists. Therefore a quorum of the old list and one of the new list always share a
// member with a quorum of the joint membership, at whatever time each member learns of the change.
type Membership struct {
	// Version increases by one with each step. It is 0 at a member that knows no list.
	Version uint64   `json:"number"`
	Current []string `json:"present"`
	Next    []string `json:"next,omitempty"`
}

// All returns the addresses of both lists, each once.
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

// Contains reports whether the address is in either list.
func (m Membership) Contains(address string) bool {
	return m.IsCurrent(address) || slices.Contains(m.Next, address)
}

// IsCurrent reports whether the address is a current member.
func (m Membership) IsCurrent(address string) bool { return slices.Contains(m.Current, address) }

// IsJoint reports whether a change of the membership is in progress.
func (m Membership) IsJoint() bool { return len(m.Next) > 0 }

// RolledBack returns the membership that ends a joint one with its current members.
func (m Membership) RolledBack() Membership {
	return Membership{Version: m.Version + 1, Current: m.Current}
}

// IsRolledBackBy reports whether the other membership ends this joint one with its current members.
func (m Membership) IsRolledBackBy(other Membership) bool {
	return m.IsJoint() && other.equal(m.RolledBack())
}

func (m Membership) equal(other Membership) bool {
	return m.Version == other.Version && slices.Equal(m.Current, other.Current) && slices.Equal(m.Next, other.Next)
}
