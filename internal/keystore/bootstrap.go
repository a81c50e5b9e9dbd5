package keystore

import "slices"

// A system that starts for the first time has no member with a vote to catch up from. Its members, the seeds of the
// settings, may then vote under the first membership all the same, once each of them has replied that it never voted, or
// that it votes under that very membership. Two cases must be kept apart from that:
//
//   - A system that has run before and lost the disks of a majority. What was acknowledged may have stood on those disks
//     alone, so it must not start again from nothing. BootstrapCompleted on any disk that is left shows it, and so does
//     any later membership.
//   - A member that voted, lost its disk and catches up again while others still bootstrap. Each member records the disk
//     incarnation of a member that catches up before it replies, and later accepts no write that counts a promise of an
//     earlier one.

// BootstrapVersion is the version of the first membership.
const BootstrapVersion = 1

// BootstrapMembership is the membership of a system that starts for the first time.
func BootstrapMembership(seeds []string) Membership {
	return Membership{Version: BootstrapVersion, Current: seeds}
}

// BootstrapVerdict says whether a member that never voted may vote under the first membership although too few voting
// members are there to catch up from, or why it may not.
type BootstrapVerdict string

// The verdicts on a bootstrap, as logs show them.
const (
	// BootstrapReady: every initial member has answered, and none of them knows more than the first membership.
	BootstrapReady BootstrapVerdict = "every founder has answered"
	// BootstrapNotInitialMember: the membership that is known or configured does not name the member.
	BootstrapNotInitialMember BootstrapVerdict = "this member is not a founder"
	// BootstrapNoAnswer: an initial member has not answered.
	BootstrapNoAnswer BootstrapVerdict = "a founder has not answered"
	// BootstrapRejected: an initial member could not record the request on its disk.
	BootstrapRejected BootstrapVerdict = "a founder could not answer"
	// BootstrapSeedMismatch: an initial member is configured with other seeds, or holds another first membership.
	BootstrapSeedMismatch BootstrapVerdict = "a founder names other seeds"
	// BootstrapMembershipChanged: an initial member has seen the membership change, or was dropped from it.
	BootstrapMembershipChanged BootstrapVerdict = "the founding list was changed"
	// BootstrapAlreadyCompleted: an initial member has seen every other vote, so a member without a vote has lost its disk.
	BootstrapAlreadyCompleted BootstrapVerdict = "the founding was completed before"
)

// verdictSeverity orders the verdicts on single members: those that only an operator can resolve come last.
var verdictSeverity = []BootstrapVerdict{
	BootstrapReady,
	BootstrapNoAnswer,
	BootstrapRejected,
	BootstrapSeedMismatch,
	BootstrapMembershipChanged,
	BootstrapAlreadyCompleted,
}

func (v BootstrapVerdict) outranks(other BootstrapVerdict) bool {
	return slices.Index(verdictSeverity, v) > slices.Index(verdictSeverity, other)
}

// BootstrapEvaluator decides on a bootstrap, see EvaluateBootstrap.
type BootstrapEvaluator func(self string, initial Membership, replies map[string]Reply) BootstrapVerdict

// EvaluateBootstrap decides on the replies to one OperationCatchUp that went to every initial member, the asking one
// included. Each reply is about the present disk of its sender, and each sender has the disk incarnation of the asking
// member on its disk before it replies.
func EvaluateBootstrap(self string, initial Membership, replies map[string]Reply) BootstrapVerdict {
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

// judgeInitialMember judges one member's reply: it must hold the first membership and vote, or never have voted.
func judgeInitialMember(initial Membership, replies map[string]Reply, address string) BootstrapVerdict {
	reply, answered := replies[address]
	switch {
	case !answered || reply.Rejection == RejectedUnreachable:
		return BootstrapNoAnswer
	case reply.knowsLaterMembership():
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

// knowsLaterMembership says whether the member knows a membership after the first one, has accepted one, which may be in
// force, or was dropped by one.
func (r Reply) knowsLaterMembership() bool {
	acceptedChange := slices.ContainsFunc(r.Registers, func(register Register) bool {
		return register.Key == MembershipKey && register.IsAccepted()
	})
	wasDropped := r.Rejection == RejectedNotVoting && !r.NeverVoted
	return r.Membership.Version > BootstrapVersion || acceptedChange || wasDropped
}

// initialMembers are those of the membership that the member holds, or of its settings if it holds none.
func (r Reply) initialMembers() []string {
	if r.Membership.Version > 0 {
		return r.Membership.Current
	}
	return r.Seeds
}

func sameAddresses(left, right []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(left)), slices.Sorted(slices.Values(right)))
}

// answerWithoutVote answers the catch-up request of another member on behalf of one that does not vote. Like a voting
// member it has the asking member's disk incarnation on its disk before the reply goes out: once it votes it accepts no
// write that counts a promise of an earlier one.
func (s *AcceptorState) answerWithoutVote(message Message, reply Reply) (Reply, []Register) {
	reply.NeverVoted = LocalStateOf(s.Registers).MembershipVersion == 0
	reply.Seeds = s.Seeds
	if message.Sender == s.Address {
		return reply, nil
	}
	incarnation := s.recordDiskIncarnation(message)
	reply.DiskIncarnationCount = incarnation.Sequence
	return reply, []Register{incarnation}
}

// CompleteBootstrap records that every initial member was seen to vote under the first membership. From then on an initial
// member without a vote has lost its disk, and no second bootstrap takes place.
func (s *AcceptorState) CompleteBootstrap() (Reply, []Register) {
	local, membership := LocalStateOf(s.Registers), MembershipOf(s.Registers)
	reply := Reply{DiskIncarnation: local.DiskIncarnation, Membership: membership}
	if !local.Voting || local.BootstrapCompleted || membership.Version != BootstrapVersion {
		reply.Rejection = RejectedStateChanged
		return reply, nil
	}
	local.BootstrapCompleted, reply.Granted = true, true
	return reply, []Register{localStateRegister(local)}
}
