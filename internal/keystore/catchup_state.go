package keystore

import (
	"maps"
	"slices"
	"time"
)

// CatchUpRequest identifies the member that catches up and the members that it reads: those of Membership, which is the
// membership in force or, while none is known, that of the bootstrap.
type CatchUpRequest struct {
	Self            string
	DiskIncarnation uint64
	Membership      Membership
}

// CatchUpResult is what a member without a vote has read from the others.
type CatchUpResult struct {
	Membership      Membership
	DiskIncarnation uint64
	// Registers hold the newest value and the highest promise of each key that any of the members holds.
	Registers []Register
}

// EvaluateCatchUp returns what Store.CatchUp installs for the replies to its request, and whether the replies are
// sufficient: enough voting members have replied, or the verdict on a bootstrap is BootstrapReady.
func EvaluateCatchUp(
	request CatchUpRequest, replies map[string]Reply, evaluateBootstrap BootstrapEvaluator,
) (result CatchUpResult, verdict BootstrapVerdict, sufficient bool) {
	votes := replySet{membership: request.Membership, replies: replies}
	result = CatchUpResult{
		Membership:      request.Membership,
		DiskIncarnation: request.DiskIncarnation,
		Registers:       votes.mergedRegisters(),
	}
	if votes.coversLostVotes(request.Self) {
		return result, "", true
	}
	verdict = evaluateBootstrap(request.Self, request.Membership, replies)
	return result, verdict, verdict == BootstrapReady
}

// coversLostVotes reports whether enough members have sent their state to the one that catches up. If an earlier disk
// incarnation of it has read a majority, that majority shares a member with the one that is read now, so one of the
// replies counts the earlier incarnation.
func (r *replySet) coversLostVotes(self string) bool {
	replied := map[string]bool{}
	hasEarlierIncarnation := false
	for address, reply := range r.replies {
		replied[address] = reply.Granted
		hasEarlierIncarnation = hasEarlierIncarnation || reply.DiskIncarnationCount > 1
	}
	return r.membership.CoversLostVotes(self, replied, hasEarlierIncarnation)
}

// mergedRegisters combines the registers of all members by key, in the order of the keys.
func (r *replySet) mergedRegisters() []Register {
	merged := map[string]Register{}
	for _, reply := range r.replies {
		for _, register := range reply.Registers {
			merged[register.Key] = mergeRegisters(merged[register.Key], register)
		}
	}
	registers := make([]Register, 0, len(merged))
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		registers = append(registers, merged[name])
	}
	return registers
}

// Install stores the state that was read and gives the member its vote, unless the member has adopted a newer
// membership, or got a vote, since the read began: the replies read under the older membership may not cover the votes
// of the newer.
//
// The registers contain what the other members had promised and accepted when they were read. A lease that they granted
// may still be active, so this member promises no lease for one lease duration.
func (s *AcceptorState) Install(read CatchUpResult, now time.Time) (Reply, []Register) {
	local, membership := LocalStateOf(s.Registers), MembershipOf(s.Registers)
	reply := Reply{DiskIncarnation: local.DiskIncarnation, Membership: membership}
	isOutdated := local.DiskIncarnation != read.DiskIncarnation || membership.Version > read.Membership.Version
	if local.Voting || isOutdated {
		reply.Rejection = RejectedStateChanged
		return reply, nil
	}
	changes := []Register{membershipRegister(read.Membership)}
	for _, register := range read.Registers {
		changes = append(changes, mergeRegisters(s.Registers[register.Key], register))
	}
	local.Voting, local.MembershipVersion = true, read.Membership.Version
	changes = append(changes, localStateRegister(local))
	s.LeasesBlockedUntil = now.Add(s.LeaseDuration)
	reply.Granted, reply.Membership = true, read.Membership
	return reply, changes
}

// Learn stores a chosen value. The value may be stored under any promise, since every proposal with a higher number is
// derived from it. This brings a member that missed writes up to date without involving the owner.
func (s *AcceptorState) Learn(chosen Register) (Reply, []Register) {
	local := LocalStateOf(s.Registers)
	reply := Reply{DiskIncarnation: local.DiskIncarnation, Membership: MembershipOf(s.Registers)}
	register := s.Registers[chosen.Key]
	if !local.Voting || isReserved(chosen.Key) || !chosen.NewerThan(register) {
		reply.Rejection = RejectedStateChanged
		return reply, nil
	}
	chosen.Promised = maxProposalNumber(register.Promised, chosen.Accepted)
	reply.Granted = true
	return reply, []Register{chosen}
}
