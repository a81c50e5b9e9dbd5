package keystore

import (
	"maps"
	"slices"
	"time"
)

// AcceptorState is all that a member's answers depend on. Step is a pure function of it, a
// message and the time, but for grants of leases, which it notes at once.
type AcceptorState struct {
	// Address is the member's own.
	Address string
	// Seeds are the founders of the system by the member's settings.
	Seeds []string
	// Lease is how long a lease is granted.
	LeaseDuration time.Duration
	// Slots holds what the member has decided, whether or not its disk has it yet.
	Registers map[string]Register
	// Grants says until when each lease is granted, by the steady clock.
	Grants map[string]time.Time
	// LeasesBlockedUntil is the time before which no lease is promised: a grant that an earlier life, or
	// the members before this one, gave may still run.
	LeasesBlockedUntil time.Time
}

// Clone is an independent copy.
func (s *AcceptorState) Clone() *AcceptorState {
	copied := *s
	copied.Registers = copyRegisters(s.Registers)
	copied.Grants = maps.Clone(s.Grants)
	return &copied
}

// Step answers a message. The answer may be given once the slots returned are on the disk.
// durable holds what the disk has already; answers about values are given from it alone.
func (s *AcceptorState) Step(message Message, now time.Time, durable map[string]Register) (Reply, []Register) {
	adopted := s.adoptMembership(message.Membership)
	view := s.withChanges(adopted)
	self, membership := readLocalState(view.Registers), readMembership(view.Registers)
	reply := Reply{DiskIncarnation: self.DiskIncarnation, Membership: membership}
	if !self.Voting {
		reply.Rejection = RejectedNotVoting
		if message.Operation != OperationCatchUp {
			return reply, adopted
		}
		answer, recorded := view.answerWithoutVote(message, reply)
		return answer, append(adopted, recorded...)
	}
	if message.Membership.Version < membership.Version && message.Operation != OperationCatchUp {
		reply.Rejection = RejectedOlderMembership
		return reply, nil
	}
	apply, known := stepsByOperation[message.Operation]
	if !known {
		reply.Rejection = RejectedUnknownOperation
		return reply, adopted
	}
	reply, changes := apply(view, message, reply, stepEnvironment{now, durable})
	return reply, append(adopted, changes...)
}

// adopt takes over a newer member list. A member that the new list does not keep loses its
// vote, and must catch up again should it be taken back.
func (s *AcceptorState) adoptMembership(membership Membership) []Register {
	if membership.Version <= readMembership(s.Registers).Version {
		return nil
	}
	adopted := []Register{membershipRegister(membership)}
	self := readLocalState(s.Registers)
	if self.Voting && !membership.IsCurrent(s.Address) {
		self.Voting = false
		adopted = append(adopted, localStateRegister(self))
	}
	return adopted
}

func (s *AcceptorState) withChanges(changes []Register) *AcceptorState {
	if len(changes) == 0 {
		return s
	}
	view := *s
	view.Registers = copyRegisters(s.Registers)
	view.Apply(changes)
	return &view
}

// Apply takes changes that a step decided on into the state.
func (s *AcceptorState) Apply(changes []Register) {
	for _, register := range changes {
		s.Registers[register.Key] = register
	}
}

// CatchUpResult is what a member without a vote has read of the others.
type CatchUpResult struct {
	Membership      Membership
	DiskIncarnation uint64
	Registers       []Register
}

// Install takes over what was read and begins to vote, unless the member has adopted a newer
// list, or begun to vote, since the reading began. What the others promised and granted until
// they were read is in the slots; a lease that they granted may run on, so none is promised
// here for as long.
func (s *AcceptorState) Install(read CatchUpResult, now time.Time) (Reply, []Register) {
	self, membership := readLocalState(s.Registers), readMembership(s.Registers)
	reply := Reply{DiskIncarnation: self.DiskIncarnation, Membership: membership}
	if self.Voting || self.DiskIncarnation != read.DiskIncarnation || membership.Version > read.Membership.Version {
		reply.Rejection = RejectedStateChanged
		return reply, nil
	}
	changes := []Register{membershipRegister(read.Membership)}
	for _, register := range read.Registers {
		changes = append(changes, mergeRegisters(s.Registers[register.Key], register))
	}
	self.Voting, self.MembershipVersion = true, read.Membership.Version
	changes = append(changes, localStateRegister(self))
	s.LeasesBlockedUntil = now.Add(s.LeaseDuration)
	reply.Granted, reply.Membership = true, read.Membership
	return reply, changes
}

// Learn keeps a value that a majority is known to hold. A chosen value may be kept under any
// promise: every later ballot carries it on. It brings a member that missed writes up to date
// without an owner's help.
func (s *AcceptorState) Learn(chosen Register) (Reply, []Register) {
	self := readLocalState(s.Registers)
	reply := Reply{DiskIncarnation: self.DiskIncarnation, Membership: readMembership(s.Registers)}
	register := s.Registers[chosen.Key]
	if !self.Voting || isReserved(chosen.Key) || !chosen.NewerThan(register) {
		reply.Rejection = RejectedStateChanged
		return reply, nil
	}
	chosen.Promised = maxProposalNumber(register.Promised, chosen.AcceptedProposal)
	reply.Granted = true
	return reply, []Register{chosen}
}

// mergeRegisters keeps the newer value and the higher promise of two slots of one key.
func mergeRegisters(left, right Register) Register {
	result := left
	if right.NewerThan(left) || left.Key == "" {
		result = right
	}
	result.Promised = maxProposalNumber(left.Promised, right.Promised)
	return result
}

func (s *AcceptorState) leaseActive(key string, now time.Time) bool {
	return isLease(key) && (now.Before(s.Grants[key]) || now.Before(s.LeasesBlockedUntil))
}

func (s *AcceptorState) extendLease(key string, now time.Time) {
	if isLease(key) {
		s.Grants[key] = now.Add(s.LeaseDuration)
	}
}

func (s *AcceptorState) sortedKeys() []string { return slices.Sorted(maps.Keys(s.Registers)) }
