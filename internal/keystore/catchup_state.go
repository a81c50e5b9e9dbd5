package keystore

import (
	"maps"
	"slices"
	"time"
)

// CatchUpRequest says which member catches up, and from whom: the members of Membership, which is the one in force
// or, while none is known, that of the bootstrap.
type CatchUpRequest struct {
	Self            string
	DiskIncarnation uint64
	Membership      Membership
}

// CatchUpResult is what a member without a vote has read of the others.
type CatchUpResult struct {
	Membership      Membership
	DiskIncarnation uint64
	// Registers hold, for each key, the newest value and the highest promise of any of them.
	Registers []Register
}

// EvaluateCatchUp is what Store.CatchUp installs from the replies to its request, and whether they are enough: either
// enough voting members have replied, or the judge of the bootstrap finds it ready.
func EvaluateCatchUp(
	request CatchUpRequest, replies map[string]Reply, judge BootstrapEvaluator,
) (result CatchUpResult, verdict BootstrapVerdict, enough bool) {
	votes := replySet{membership: request.Membership, replies: replies}
	result = CatchUpResult{
		Membership:      request.Membership,
		DiskIncarnation: request.DiskIncarnation,
		Registers:       votes.mergedRegisters(),
	}
	if votes.coversLostVotes(request.Self) {
		return result, "", true
	}
	verdict = judge(request.Self, request.Membership, replies)
	return result, verdict, verdict == BootstrapReady
}

// coversLostVotes says whether enough members have sent the one that catches up what they hold. A majority that was read by an
// earlier disk incarnation has a member in common with one that is read by this one, so one of the replies counts it.
func (r *replySet) coversLostVotes(self string) bool {
	answered := map[string]bool{}
	hasEarlierIncarnation := false
	for address, reply := range r.replies {
		answered[address] = reply.Granted
		hasEarlierIncarnation = hasEarlierIncarnation || reply.DiskIncarnationCount > 1
	}
	return r.membership.CoversLostVotes(self, answered, hasEarlierIncarnation)
}

// mergedRegisters combines what all members hold of each key, in the order of the keys.
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

// Install takes over what was read and begins to vote, unless the member has adopted a newer membership, or begun to vote,
// since the reading began: what was read under the older one need not cover the votes of the newer.
//
// What the others promised and granted until they were read is in the registers. A lease that they granted may run on, so
// none is promised here for as long as one lasts.
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

// Learn keeps a value that was chosen. It may be kept under any promise, since every later proposal carries it on. It
// brings a member that missed writes up to date without the owner's help.
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
