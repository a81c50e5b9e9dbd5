package keystore

import "slices"

// BootstrapVerdict says whether a member that never voted may vote under the founding list although too few
// voting members are there to catch up from, or why it may not.
type BootstrapVerdict string

// The verdicts on founding.
const (
	// BootstrapReady: every founder has answered, and none of them knows more than the founding list.
	BootstrapReady BootstrapVerdict = "every founder has answered"
	// BootstrapNotInitialMember: the list that is known or configured does not name the member.
	BootstrapNotInitialMember BootstrapVerdict = "this member is not a founder"
	// BootstrapNoAnswer: a founder has not answered.
	BootstrapNoAnswer BootstrapVerdict = "a founder has not answered"
	// BootstrapRejected: a founder could not note the question on its disk.
	BootstrapRejected BootstrapVerdict = "a founder could not answer"
	// BootstrapSeedMismatch: a founder is configured with other seeds, or holds another founding list.
	BootstrapSeedMismatch BootstrapVerdict = "a founder names other seeds"
	// BootstrapMembershipChanged: a founder has seen the member list change, or was dropped from it.
	BootstrapMembershipChanged BootstrapVerdict = "the founding list was changed"
	// BootstrapAlreadyCompleted: a founder has seen every founder vote, so a member without a vote has lost its disk.
	BootstrapAlreadyCompleted BootstrapVerdict = "the founding was completed before"
)

// BootstrapMembership is the member list of a system that starts for the first time.
func BootstrapMembership(seeds []string) Membership {
	return Membership{Version: BootstrapVersion, Current: seeds}
}

// BootstrapVersion is the number of the first member list.
const BootstrapVersion = 1

// JudgeBootstrap decides on the answers to one catch-up question that went to every member of the founding list,
// the asking member included. Each answer tells of the present disk of its giver, and each giver has the
// incarnation of the asking member on its disk before it answers.
func JudgeBootstrap(self string, initial Membership, replies map[string]Reply) BootstrapVerdict {
	if initial.Version != BootstrapVersion || initial.IsJoint() {
		return BootstrapMembershipChanged
	}
	if !initial.IsCurrent(self) {
		return BootstrapNotInitialMember
	}
	verdict := BootstrapReady
	for _, address := range initial.Current {
		if next := judgeInitialMember(initial, replies, address); next.outranks(verdict) {
			verdict = next
		}
	}
	return verdict
}

// verdictSeverity orders the verdicts on single founders: what can only be told by an operator's act comes first.
var verdictSeverity = []BootstrapVerdict{
	BootstrapReady, BootstrapNoAnswer, BootstrapRejected, BootstrapSeedMismatch, BootstrapMembershipChanged, BootstrapAlreadyCompleted,
}

func (v BootstrapVerdict) outranks(other BootstrapVerdict) bool {
	return slices.Index(verdictSeverity, v) > slices.Index(verdictSeverity, other)
}

// judgeInitialMember judges one founder's answer: it must hold the founding list and vote, or never have voted.
func judgeInitialMember(initial Membership, replies map[string]Reply, address string) BootstrapVerdict {
	reply, answered := replies[address]
	switch {
	case !answered || reply.Rejection == RejectedUnreachable:
		return BootstrapNoAnswer
	case reply.Membership.Version > BootstrapVersion || reply.hasMembershipChange() || reply.Rejection == RejectedNotVoting && !reply.NeverVoted:
		return BootstrapMembershipChanged
	case reply.BootstrapCompleted:
		return BootstrapAlreadyCompleted
	case !reply.Granted && !reply.NeverVoted:
		return BootstrapRejected
	case !sameAddresses(initial.Current, reply.initialMembers()):
		return BootstrapSeedMismatch
	}
	return BootstrapReady
}

// founders are the founders by the list that the member holds, or by its settings if it holds none.
func (r Reply) initialMembers() []string {
	if r.Membership.Version > 0 {
		return r.Membership.Current
	}
	return r.Seeds
}

// hasMembershipChange says whether the member has accepted a change of the member list, which may be in force.
func (r Reply) hasMembershipChange() bool {
	return slices.ContainsFunc(r.Registers, func(register Register) bool { return register.Key == MembershipKey && register.IsAccepted() })
}

func sameAddresses(left, right []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(left)), slices.Sorted(slices.Values(right)))
}

// testify answers the catch-up question of another member on behalf of one that does not vote. Like a voting
// member it has the asking member's incarnation on its disk before the answer goes out: once it votes it takes no
// write that counts a promise of an earlier incarnation.
func (s *AcceptorState) answerWithoutVote(message Message, reply Reply) (Reply, []Register) {
	self := readLocalState(s.Registers)
	reply.NeverVoted, reply.Seeds = self.MembershipVersion == 0, s.Seeds
	if message.Sender == s.Address {
		return reply, nil
	}
	known := diskIncarnationRegister(s.Registers[diskIncarnationPrefix+message.Sender], message.Sender, message.DiskIncarnation)
	reply.DiskIncarnationCount = known.Sequence
	return reply, []Register{known}
}

// CompleteBootstrap notes that every founder was seen to vote under the founding list. From then on a founder
// without a vote has lost its disk, and no second founding takes place.
func (s *AcceptorState) CompleteBootstrap() (Reply, []Register) {
	self, membership := readLocalState(s.Registers), readMembership(s.Registers)
	reply := Reply{DiskIncarnation: self.DiskIncarnation, Membership: membership}
	if !self.Voting || self.BootstrapCompleted || membership.Version != BootstrapVersion {
		reply.Rejection = RejectedStateChanged
		return reply, nil
	}
	self.BootstrapCompleted, reply.Granted = true, true
	return reply, []Register{localStateRegister(self)}
}
