package keystore

import (
	"maps"
	"slices"
	"time"
)

// stepEnvironment is what a step may look at besides the member's state.
type stepEnvironment struct {
	now     time.Time
	durable map[string]Register
}

type stepFunc func(m *AcceptorState, message Message, reply Reply, at stepEnvironment) (Reply, []Register)

var stepsByOperation = map[Operation]stepFunc{
	OperationPrepare: (*AcceptorState).prepare,
	OperationAccept:  (*AcceptorState).accept,
	OperationRenew:   (*AcceptorState).renew,
	OperationRelease: (*AcceptorState).release,
	OperationDigest:  (*AcceptorState).digest,
	OperationFetch:   (*AcceptorState).fetch,
	OperationCatchUp: (*AcceptorState).catchUp,
}

func (s *AcceptorState) register(key string) Register {
	register := s.Registers[key]
	register.Key = key
	return register
}

// promise tells with each answer which incarnations of others this member knows, so that nobody counts the promise of a
// member that has lost its disk since.
func (s *AcceptorState) prepare(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	register := s.register(message.Key)
	reply.Register, reply.KnownDiskIncarnations = register, knownDiskIncarnations(s.Registers)
	if !register.Promised.Less(message.Proposal) {
		reply.Rejection = RejectedPromised
		return reply, nil
	}
	if s.leaseActive(message.Key, environment.now) {
		reply.Rejection = RejectedLeaseActive
		return reply, nil
	}
	register.Promised = message.Proposal
	reply.Register, reply.Granted = register, true
	return reply, []Register{register}
}

func (s *AcceptorState) accept(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	register := s.register(message.Key)
	reply.Register = register.WithoutValue()
	if s.knowsLostDisk(message.DiskIncarnations) {
		reply.Rejection = RejectedDiskLost
		return reply, nil
	}
	superseded := message.Proposal == register.AcceptedProposal && message.Sequence < register.Sequence
	if message.Proposal.Less(register.Promised) || superseded {
		reply.Rejection = RejectedPromised
		return reply, nil
	}
	register.Promised, register.AcceptedProposal = message.Proposal, message.Proposal
	register.Sequence, register.Value = message.Sequence, message.Value
	reply.Register, reply.Granted = register.WithoutValue(), true
	s.extendLease(message.Key, environment.now)
	return reply, []Register{register}
}

// knowsLostDisk says that a member whose promise is counted has lost its disk since, be it this
// member or one that caught up here.
func (s *AcceptorState) knowsLostDisk(counted map[string]uint64) bool {
	for member, diskIncarnation := range counted {
		known := knownDiskIncarnation(s.Registers, member)
		if member == s.Address {
			known = readLocalState(s.Registers).DiskIncarnation
		}
		if known != 0 && known != diskIncarnation {
			return true
		}
	}
	return false
}

// renew may be granted on a promise that the disk does not have yet: whoever took the key by a
// higher ballot since needs this member's promise later, or had it already and is seen here.
func (s *AcceptorState) renew(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	register := s.Registers[message.Key]
	reply.Register = register.WithoutValue()
	if register.Promised != message.Proposal {
		reply.Rejection = RejectedPromised
		return reply, nil
	}
	reply.Granted = true
	s.extendLease(message.Key, environment.now)
	return reply, nil
}

func (s *AcceptorState) release(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	register := s.Registers[message.Key]
	reply.Register = register.WithoutValue()
	if register.Promised != message.Proposal {
		reply.Rejection = RejectedPromised
		return reply, nil
	}
	reply.Granted = true
	delete(s.Grants, message.Key)
	return reply, nil
}

func (s *AcceptorState) digest(_ Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	for _, key := range slices.Sorted(maps.Keys(environment.durable)) {
		register := environment.durable[key]
		if isReserved(key) || !register.IsAccepted() {
			continue
		}
		reply.Registers = append(reply.Registers, Register{Key: key, AcceptedProposal: register.AcceptedProposal, Sequence: register.Sequence})
	}
	reply.Granted, reply.KnownDiskIncarnations = true, knownDiskIncarnations(s.Registers)
	return reply, nil
}

func (s *AcceptorState) fetch(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	reply.Register = environment.durable[message.Key]
	reply.Granted = reply.Register.IsAccepted()
	if !reply.Granted {
		reply.Rejection = RejectedNoValue
	}
	return reply, nil
}

// catchUp tells a member without a vote all that this one decided. The sender's incarnation is
// on this member's disk before the answer goes out: from then on no write is taken that counts
// a promise of an earlier incarnation.
func (s *AcceptorState) catchUp(message Message, reply Reply, _ stepEnvironment) (Reply, []Register) {
	for _, key := range s.sortedKeys() {
		if !isReserved(key) {
			reply.Registers = append(reply.Registers, s.Registers[key])
		}
	}
	known := diskIncarnationRegister(s.Registers[diskIncarnationPrefix+message.Sender], message.Sender, message.DiskIncarnation)
	reply.Granted, reply.DiskIncarnationCount, reply.BootstrapCompleted = true, known.Sequence, readLocalState(s.Registers).BootstrapCompleted
	return reply, []Register{known}
}
