package keystore

import "slices"

// FoundingVerdict says whether a member that never voted may vote under the founding list although too few
// voting members are there to catch up from, or why it may not.
type FoundingVerdict string

// The verdicts on founding.
const (
	// FoundingReady: every founder has answered, and none of them knows more than the founding list.
	FoundingReady FoundingVerdict = "every founder has answered"
	// FoundingNotFounder: the list that is known or configured does not name the member.
	FoundingNotFounder FoundingVerdict = "this member is not a founder"
	// FoundingSilent: a founder has not answered.
	FoundingSilent FoundingVerdict = "a founder has not answered"
	// FoundingRefused: a founder could not note the question on its disk.
	FoundingRefused FoundingVerdict = "a founder could not answer"
	// FoundingOtherSeeds: a founder is configured with other seeds, or holds another founding list.
	FoundingOtherSeeds FoundingVerdict = "a founder names other seeds"
	// FoundingLaterMembers: a founder has seen the member list change, or was dropped from it.
	FoundingLaterMembers FoundingVerdict = "the founding list was changed"
	// FoundingCompleted: a founder has seen every founder vote, so a member without a vote has lost its disk.
	FoundingCompleted FoundingVerdict = "the founding was completed before"
)

// FoundingList is the member list of a system that starts for the first time.
func FoundingList(seeds []string) Members { return Members{Number: FoundingNumber, Present: seeds} }

// FoundingNumber is the number of the first member list.
const FoundingNumber = 1

// JudgeFounding decides on the answers to one catch-up question that went to every member of the founding list,
// the asking member included. Each answer tells of the present disk of its giver, and each giver has the
// incarnation of the asking member on its disk before it answers.
func JudgeFounding(self string, founding Members, replies map[string]Reply) FoundingVerdict {
	if founding.Number != FoundingNumber || founding.Joint() {
		return FoundingLaterMembers
	}
	if !founding.Keeps(self) {
		return FoundingNotFounder
	}
	verdict := FoundingReady
	for _, address := range founding.Present {
		if next := judgeFounder(founding, replies, address); next.outranks(verdict) {
			verdict = next
		}
	}
	return verdict
}

// verdictRanks orders the verdicts on single founders: what can only be told by an operator's act comes first.
var verdictRanks = []FoundingVerdict{
	FoundingReady, FoundingSilent, FoundingRefused, FoundingOtherSeeds, FoundingLaterMembers, FoundingCompleted,
}

func (v FoundingVerdict) outranks(other FoundingVerdict) bool {
	return slices.Index(verdictRanks, v) > slices.Index(verdictRanks, other)
}

// judgeFounder judges one founder's answer: it must hold the founding list and vote, or never have voted.
func judgeFounder(founding Members, replies map[string]Reply, address string) FoundingVerdict {
	reply, answered := replies[address]
	switch {
	case !answered || reply.Refusal == RefusedUnreached:
		return FoundingSilent
	case reply.Members.Number > FoundingNumber || reply.changesMembers() || reply.Refusal == RefusedNotVoting && !reply.NeverVoted:
		return FoundingLaterMembers
	case reply.Completed:
		return FoundingCompleted
	case !reply.Granted && !reply.NeverVoted:
		return FoundingRefused
	case !sameAddresses(founding.Present, reply.founders()):
		return FoundingOtherSeeds
	}
	return FoundingReady
}

// founders are the founders by the list that the member holds, or by its settings if it holds none.
func (r Reply) founders() []string {
	if r.Members.Number > 0 {
		return r.Members.Present
	}
	return r.Seeds
}

// changesMembers says whether the member has accepted a change of the member list, which may be in force.
func (r Reply) changesMembers() bool {
	return slices.ContainsFunc(r.Slots, func(slot Slot) bool { return slot.Key == MembersKey && slot.Accepted() })
}

func sameAddresses(left, right []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(left)), slices.Sorted(slices.Values(right)))
}

// testify answers the catch-up question of another member on behalf of one that does not vote. Like a voting
// member it has the asking member's incarnation on its disk before the answer goes out: once it votes it takes no
// write that counts a promise of an earlier incarnation.
func (m *MemberState) testify(message Message, reply Reply) (Reply, []Slot) {
	self := readSelf(m.Slots)
	reply.NeverVoted, reply.Seeds = self.Number == 0, m.Seeds
	if message.Sender == m.Address {
		return reply, nil
	}
	noted := knownSlot(m.Slots[knownPrefix+message.Sender], message.Sender, message.Incarnation)
	reply.Lives = noted.Sequence
	return reply, []Slot{noted}
}

// CompleteFounding notes that every founder was seen to vote under the founding list. From then on a founder
// without a vote has lost its disk, and no second founding takes place.
func (m *MemberState) CompleteFounding() (Reply, []Slot) {
	self, members := readSelf(m.Slots), readMembers(m.Slots)
	reply := Reply{Incarnation: self.Incarnation, Members: members}
	if !self.Voting || self.Completed || members.Number != FoundingNumber {
		reply.Refusal = RefusedMovedOn
		return reply, nil
	}
	self.Completed, reply.Granted = true, true
	return reply, []Slot{selfSlot(self)}
}
