package keystore

import (
	"maps"
	"slices"
	"strings"
)

// stepFunc answers one operation. reply is filled in with what every reply holds.
type stepFunc func(s *AcceptorState, message Message, reply Reply, environment stepEnvironment) (Reply, []Register)

var stepsByOperation = map[Operation]stepFunc{
	OperationPrepare: (*AcceptorState).prepare,
	OperationAccept:  (*AcceptorState).accept,
	OperationRenew:   (*AcceptorState).renew,
	OperationRelease: (*AcceptorState).release,
	OperationDigest:  (*AcceptorState).digest,
	OperationFetch:   (*AcceptorState).fetch,
	OperationCatchUp: (*AcceptorState).catchUp,
}

// prepare promises to accept no proposal below the message's number, and replies with what was accepted so far. A member
// that broke the promise would let an earlier owner finish a write that the new one has not seen.
//
// A message that comes again is promised again: its number is of one attempt of one proposer, and nothing below it was accepted
// since. The register is written once more, so that the second reply waits for the disk as the first one does.
//
// The reply names, with or without a promise, the disk incarnations of others that this member knows, so that nobody counts
// the promise of a member that has lost its disk since.
func (s *AcceptorState) prepare(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	register := s.register(message.Key)
	reply.Register, reply.KnownDiskIncarnations = register, knownDiskIncarnations(s.Registers)
	if message.Proposal.Less(register.Promised) {
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

// accept keeps a value unless a higher number was promised. To accept a number is to promise it.
func (s *AcceptorState) accept(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	register := s.register(message.Key)
	reply.Register = register.WithoutValue()
	if s.knowsLostDisk(message.DiskIncarnations) {
		reply.Rejection = RejectedDiskLost
		return reply, nil
	}
	superseded := message.Proposal == register.Accepted && message.Sequence < register.Sequence
	if message.Proposal.Less(register.Promised) || superseded {
		reply.Rejection = RejectedPromised
		return reply, nil
	}
	register.Promised, register.Accepted = message.Proposal, message.Proposal
	register.Sequence, register.Value = message.Sequence, message.Value
	reply.Register, reply.Granted = register.WithoutValue(), true
	s.extendLease(message.Key, environment.now)
	return reply, []Register{register}
}

// knowsLostDisk says that a member whose promise is counted has lost its disk since, be it this member or one that caught
// up here. The write would count a promise that nobody keeps.
func (s *AcceptorState) knowsLostDisk(counted map[string]uint64) bool {
	for member, diskIncarnation := range counted {
		known := knownDiskIncarnation(s.Registers, member)
		if member == s.Address {
			known = LocalStateOf(s.Registers).DiskIncarnation
		}
		if known != 0 && known != diskIncarnation {
			return true
		}
	}
	return false
}

// renew extends the lease of its owner. It may be granted on a promise that the disk does not have yet: a proposer that
// became the owner by a higher number since needs this member's promise later, or had it already and is seen here.
func (s *AcceptorState) renew(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	reply = s.confirmPromise(message, reply)
	if reply.Granted {
		s.extendLease(message.Key, environment.now)
	}
	return reply, nil
}

// release ends the grant of a lease for its owner only: another's lease must run its time.
func (s *AcceptorState) release(message Message, reply Reply, _ stepEnvironment) (Reply, []Register) {
	reply = s.confirmPromise(message, reply)
	if reply.Granted {
		delete(s.Grants, message.Key)
	}
	return reply, nil
}

// confirmPromise grants a message of the proposer that has this member's promise.
func (s *AcceptorState) confirmPromise(message Message, reply Reply) Reply {
	register := s.Registers[message.Key]
	reply.Register = register.WithoutValue()
	reply.Granted = register.Promised == message.Proposal
	if !reply.Granted {
		reply.Rejection = RejectedPromised
	}
	return reply
}

// digest lists what is accepted and on the disk, but for the keys that applications share.
func (s *AcceptorState) digest(_ Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	for key, register := range environment.durable {
		if isReserved(key) || isCoordination(key) || !register.IsAccepted() {
			continue
		}
		reply.Registers = append(reply.Registers, Register{
			Key:      key,
			Accepted: register.Accepted,
			Sequence: register.Sequence,
		})
	}
	slices.SortFunc(reply.Registers, func(a, b Register) int { return strings.Compare(a.Key, b.Key) })
	reply.Granted, reply.KnownDiskIncarnations = true, knownDiskIncarnations(s.Registers)
	return reply, nil
}

// fetch gives a value that is on the disk.
func (s *AcceptorState) fetch(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	reply.Register = environment.durable[message.Key]
	reply.Granted = reply.Register.IsAccepted()
	if !reply.Granted {
		reply.Rejection = RejectedNoValue
	}
	return reply, nil
}

// catchUp sends a member without a vote all that this one decided. The sender's disk incarnation is on this member's disk
// before the reply goes out: from then on no write is accepted here that counts a promise of an earlier one.
func (s *AcceptorState) catchUp(message Message, reply Reply, _ stepEnvironment) (Reply, []Register) {
	for _, key := range slices.Sorted(maps.Keys(s.Registers)) {
		if !isReserved(key) {
			reply.Registers = append(reply.Registers, s.Registers[key])
		}
	}
	incarnation := s.recordDiskIncarnation(message)
	reply.Granted = true
	reply.DiskIncarnationCount = incarnation.Sequence
	reply.BootstrapCompleted = LocalStateOf(s.Registers).BootstrapCompleted
	return reply, []Register{incarnation}
}

// recordDiskIncarnation is the register that records the disk incarnation of a member that catches up.
func (s *AcceptorState) recordDiskIncarnation(message Message) Register {
	previous := s.Registers[diskIncarnationPrefix+message.Sender]
	return diskIncarnationRegister(previous, message.Sender, message.DiskIncarnation)
}
