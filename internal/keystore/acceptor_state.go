package keystore

import (
	"maps"
	"time"
)

// AcceptorState is all that a member's replies depend on. Its methods decide without any IO: they are functions of the
// state, the request and the time. They return the registers that must be on the disk before the reply goes out, and
// change nothing but the grants of leases, which live in memory only.
type AcceptorState struct {
	// Address is the member's own.
	Address string
	// Seeds are the initial members of the system by the member's settings.
	Seeds []string
	// LeaseDuration is how long a lease is granted.
	LeaseDuration time.Duration
	// Registers holds what the member has decided, by key, whether or not its disk has it yet.
	Registers map[string]Register
	// Grants says until when each lease is granted, by key, on the monotonic clock.
	Grants map[string]time.Time
	// LeasesBlockedUntil is the time before which no lease is promised: a grant that an earlier process, or the members
	// before this one, gave may still run. Without it two holders could act under one lease.
	LeasesBlockedUntil time.Time
}

// stepEnvironment is what a step may look at besides the member's state.
type stepEnvironment struct {
	now time.Time
	// durable holds the registers that are on the disk.
	durable map[string]Register
}

// Clone is an independent copy.
func (s *AcceptorState) Clone() *AcceptorState {
	copied := *s
	copied.Registers = maps.Clone(s.Registers)
	copied.Grants = maps.Clone(s.Grants)
	return &copied
}

// Step answers a message. The reply may be given once the registers returned are on the disk. durable holds what the disk
// has already; replies about values are given from it alone, since what is not on the disk yet may be lost.
func (s *AcceptorState) Step(message Message, now time.Time, durable map[string]Register) (Reply, []Register) {
	adopted := s.adoptMembership(message.Membership)
	view := s.withChanges(adopted)
	local, membership := LocalStateOf(view.Registers), MembershipOf(view.Registers)
	reply := Reply{DiskIncarnation: local.DiskIncarnation, Membership: membership}
	if !local.Voting {
		reply.Rejection = RejectedNotVoting
		if message.Operation != OperationCatchUp {
			return reply, adopted
		}
		answer, recorded := view.answerWithoutVote(message, reply)
		return answer, append(adopted, recorded...)
	}
	// Votes that are counted under an older membership could form a quorum beside one of the newer.
	if message.Membership.Version < membership.Version && message.Operation != OperationCatchUp {
		reply.Rejection = RejectedOlderMembership
		return reply, nil
	}
	step, known := stepsByOperation[message.Operation]
	if !known {
		reply.Rejection = RejectedUnknownOperation
		return reply, adopted
	}
	reply, changes := step(view, message, reply, stepEnvironment{now: now, durable: durable})
	return reply, append(adopted, changes...)
}

// Apply takes changes that a step decided on into the state.
func (s *AcceptorState) Apply(changes []Register) {
	for _, register := range changes {
		s.Registers[register.Key] = register
	}
}

// withChanges is the state with changes applied, and the same state if there are none.
func (s *AcceptorState) withChanges(changes []Register) *AcceptorState {
	if len(changes) == 0 {
		return s
	}
	view := *s
	view.Registers = maps.Clone(s.Registers)
	view.Apply(changes)
	return &view
}

// adoptMembership takes over a newer membership. A member that the new one does not keep loses its vote, and must catch
// up again should it return: it receives no writes meanwhile.
func (s *AcceptorState) adoptMembership(membership Membership) []Register {
	if membership.Version <= MembershipOf(s.Registers).Version {
		return nil
	}
	adopted := []Register{membershipRegister(membership)}
	local := LocalStateOf(s.Registers)
	if local.Voting && !membership.IsCurrent(s.Address) {
		local.Voting = false
		adopted = append(adopted, localStateRegister(local))
	}
	return adopted
}

// register is the register of a key, or an empty one.
func (s *AcceptorState) register(key string) Register {
	register := s.Registers[key]
	register.Key = key
	return register
}

func (s *AcceptorState) leaseActive(key string, now time.Time) bool {
	return isLease(key) && (now.Before(s.Grants[key]) || now.Before(s.LeasesBlockedUntil))
}

func (s *AcceptorState) extendLease(key string, now time.Time) {
	if isLease(key) {
		s.Grants[key] = now.Add(s.LeaseDuration)
	}
}
