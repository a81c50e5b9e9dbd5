package keystore

import "slices"

// A system that starts for the first time has no member with a vote to catch up from. Its members, the seeds of the
// settings, may then vote under the first membership nevertheless, once each of them has replied that it never voted, or
// that it votes under that same membership. Two other cases must be distinguished from this:
//
//   - A system that has run before and lost the disks of a majority. Acknowledged writes may have been on those disks only,
//     so the system must not start again with an empty state. It is recognized by BootstrapCompleted on any remaining
//     disk, or by any later membership.
//   - A member that voted, lost its disk and catches up again while others are still bootstrapping. Each member records the
//     disk incarnation of a member that catches up before it replies, and later rejects every write that counts a promise
//     of an earlier one.

// BootstrapVersion is the version of the first membership.
const BootstrapVersion = 1

// BootstrapMembership returns the membership of a system that starts for the first time.
func BootstrapMembership(seeds []string) Membership {
	return Membership{Version: BootstrapVersion, Current: seeds}
}

// BootstrapVerdict is whether a member that never voted may vote under the first membership although it can reach too
// few voting members to catch up from, or the reason why it may not.
type BootstrapVerdict string

// The possible verdicts, as they are logged.
const (
	// BootstrapReady: every initial member has replied, and none knows a later state than the first membership.
	BootstrapReady BootstrapVerdict = "every initial member has replied"
	// BootstrapNotInitialMember: the known or configured membership does not include the member.
	BootstrapNotInitialMember BootstrapVerdict = "this member is not an initial member"
	// BootstrapNoAnswer: an initial member has not replied.
	BootstrapNoAnswer BootstrapVerdict = "an initial member has not replied"
	// BootstrapRejected: an initial member could not record the request on its disk.
	BootstrapRejected BootstrapVerdict = "an initial member could not record the request"
	// BootstrapSeedMismatch: an initial member is configured with other seeds, or has another first membership.
	BootstrapSeedMismatch BootstrapVerdict = "an initial member has other seeds"
	// BootstrapMembershipChanged: an initial member knows a later membership, or was removed by one.
	BootstrapMembershipChanged BootstrapVerdict = "the initial membership was changed"
	// BootstrapAlreadyCompleted: an initial member has seen all others vote, so a member without a vote has lost its
	// disk.
	BootstrapAlreadyCompleted BootstrapVerdict = "the bootstrap was completed before"
)

// verdictSeverity orders the verdicts on single members by ascending severity: those that only an operator can resolve
// come last.
var verdictSeverity = []BootstrapVerdict{
	BootstrapReady,
	BootstrapNoAnswer,
	BootstrapRejected,
	BootstrapSeedMismatch,
	BootstrapMembershipChanged,
	BootstrapAlreadyCompleted,
}

func (v BootstrapVerdict) isMoreSevereThan(other BootstrapVerdict) bool {
	return slices.Index(verdictSeverity, v) > slices.Index(verdictSeverity, other)
}

// BootstrapEvaluator decides whether to bootstrap, see EvaluateBootstrap.
type BootstrapEvaluator func(self string, initial Membership, replies map[string]Reply) BootstrapVerdict

// EvaluateBootstrap decides whether to bootstrap, from the replies to one OperationCatchUp that was sent to every
// initial member, including the sender. Each reply describes the present disk of the member that sent it. That member
// stores the disk incarnation of the requesting member there before it replies.
func EvaluateBootstrap(self string, initial Membership, replies map[string]Reply) BootstrapVerdict {
	if initial.Version != BootstrapVersion || initial.IsJoint() {
		return BootstrapMembershipChanged
	}
	if !initial.IsCurrent(self) {
		return BootstrapNotInitialMember
	}
	verdict := BootstrapReady
	for _, address := range initial.Current {
		if next := evaluateInitialMember(initial, replies, address); next.isMoreSevereThan(verdict) {
			verdict = next
		}
	}
	return verdict
}

// evaluateInitialMember evaluates the reply of one member, which must vote under the first membership or never have
// voted.
func evaluateInitialMember(initial Membership, replies map[string]Reply, address string) BootstrapVerdict {
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

// knowsLaterMembership reports whether the member knows a membership after the first one, has accepted one, which may
// be in force, or was removed by one.
func (r Reply) knowsLaterMembership() bool {
	acceptedChange := slices.ContainsFunc(r.Registers, func(register Register) bool {
		return register.Key == MembershipKey && register.IsAccepted()
	})
	wasDropped := r.Rejection == RejectedNotVoting && !r.NeverVoted
	return r.Membership.Version > BootstrapVersion || acceptedChange || wasDropped
}

// initialMembers returns the members of the membership that the member knows, or the seeds of its settings if it knows
// none.
func (r Reply) initialMembers() []string {
	if r.Membership.Version > 0 {
		return r.Membership.Current
	}
	return r.Seeds
}

func sameAddresses(left, right []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(left)), slices.Sorted(slices.Values(right)))
}

// replyWithoutVote replies to the catch-up request of another member on behalf of a member without a vote. Like a
// voting member, it stores the sender's disk incarnation on its disk before the reply is sent: once it votes, it rejects
// every write that counts a promise of an earlier incarnation.
func (s *AcceptorState) replyWithoutVote(message Message, reply Reply) (Reply, []Register) {
	reply.NeverVoted = LocalStateOf(s.Registers).MembershipVersion == 0
	reply.Seeds = s.Seeds
	if message.Sender == s.Address {
		return reply, nil
	}
	incarnation := s.senderIncarnationRegister(message)
	reply.DiskIncarnationCount = incarnation.Sequence
	return reply, []Register{incarnation}
}

// CompleteBootstrap records that every initial member was seen to vote under the first membership. From then on an
// initial member without a vote has lost its disk, and no second bootstrap takes place.
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
