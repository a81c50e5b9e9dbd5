package keystore

import "slices"

// HasQuorum reports whether the members that agreed are a majority of the current members and, while the membership is
// joint, of the next ones too. Any two quorums of one membership share a member. All guarantees of the package rely on
// this: a proposer that prepares with a quorum receives the reply of at least one member of every quorum that accepted
// before.
func (m Membership) HasQuorum(agreed map[string]bool) bool {
	return isMajority(m.Current, agreed) && (!m.IsJoint() || isMajority(m.Next, agreed))
}

// CoversLostVotes reports whether a member without a vote has read enough other members to vote again. It must have
// read, from each list that it is in, a member of every majority that could have been formed with its lost vote. If it
// voted after reading fewer, a value accepted by it and by members that it has not read could be lost.
//
// A member of Next only must have read a majority of the current members: they hold everything that was chosen before
// the change began. It has no lost vote in Next, unless an earlier disk incarnation of it may have caught up already.
func (m Membership) CoversLostVotes(self string, read map[string]bool, hasEarlierIncarnation bool) bool {
	if !m.IsCurrent(self) {
		return isMajority(m.Current, read) && (!hasEarlierIncarnation || coversMajorities(m.Next, self, read))
	}
	return coversMajorities(m.Current, self, read) &&
		(!slices.Contains(m.Next, self) || coversMajorities(m.Next, self, read))
}

func isMajority(group []string, agreed map[string]bool) bool {
	return len(group) > 0 && countIn(group, "", agreed) >= majoritySize(group)
}

func majoritySize(group []string) int { return len(group)/2 + 1 }

// coversMajorities reports whether the members read, excluding self, share a member with every majority of the group.
func coversMajorities(group []string, self string, read map[string]bool) bool {
	needed := len(group) - majoritySize(group) + 1
	return countIn(group, self, read) >= needed
}

// countIn returns how many members of the group, other than except, are in the set of members.
func countIn(group []string, except string, members map[string]bool) int {
	total := 0
	for _, member := range group {
		if member != except && members[member] {
			total++
		}
	}
	return total
}
