package keystore

import (
	"maps"
	"time"
)

// AcceptorState is the complete state that a member's replies depend on. Its methods perform no IO: they are functions
// of the state, the request and the time. They return the registers that must be on disk before the reply is sent, and
// modify nothing but the lease grants, which are kept in memory only.
type AcceptorState struct {
	// Address is the member's own address.
	Address string
	// Seeds are the initial members of the system according to the member's settings.
	Seeds []string
	// LeaseDuration is how long a lease is granted.
	LeaseDuration time.Duration
	// Registers holds what the member has decided, by key, including what is not on its disk yet.
	Registers map[string]Register
	// Grants holds the time at which the grant of each lease expires, by key, on the monotonic clock.
	Grants map[string]time.Time
	// LeasesBlockedUntil is the time before which no lease is promised: a lease granted by an earlier process, or by
	// the members that this one has caught up from, may not have expired. Otherwise two holders could act under one
	// lease.
	LeasesBlockedUntil time.Time
}

// stepEnvironment is the input of a step besides the member's state and the message.
type stepEnvironment struct {
	now time.Time
	// durable holds the registers that are on disk.
	durable map[string]Register
}

// Clone returns an independent copy.
func (s *AcceptorState) Clone() *AcceptorState {
	copied := *s
	copied.Registers = maps.Clone(s.Registers)
	copied.Grants = maps.Clone(s.Grants)
	return &copied
}

// Step processes a message and returns the reply, which may be sent once the registers returned are on disk. durable
// holds the registers that are on disk already. Values are returned from it alone, since a register that is not on disk
// yet may be lost.
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
		answer, changes := view.replyWithoutVote(message, reply)
		return answer, append(adopted, changes...)
	}
	// Votes counted under an older membership could form a quorum that shares no member with one of the newer
	// membership.
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

// Apply stores the changes that a step has decided on in the state.
func (s *AcceptorState) Apply(changes []Register) {
	for _, register := range changes {
		s.Registers[register.Key] = register
	}
}

// withChanges returns the state with the changes applied, and the same state if there are none.
func (s *AcceptorState) withChanges(changes []Register) *AcceptorState {
	if len(changes) == 0 {
		return s
	}
	view := *s
	view.Registers = maps.Clone(s.Registers)
	view.Apply(changes)
	return &view
}

// adoptMembership adopts a newer membership. A member that is not a current member of it loses its vote, since it
// receives no further writes, and must catch up again if it is added back later.
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

// register returns the register of a key, or an empty one if there is none.
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
