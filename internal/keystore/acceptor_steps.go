package keystore

import (
	"maps"
	"slices"
	"strings"
)

// stepFunc processes the messages of one operation. reply holds the fields that are common to all replies.
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

// prepare promises to accept no proposal below the message's number, and replies with the value accepted so far. A
// member that broke the promise would let an earlier owner complete a write that the new owner has not seen.
//
// A message that is received twice is granted twice: its number belongs to one attempt of one proposer, and nothing
// below it has been accepted in between. The register is written again, so that the second reply waits for the disk
// like the first.
//
// Whether or not the promise is granted, the reply names the disk incarnations of other members that this member knows,
// so that no proposer counts the promise of a member that has lost its disk since.
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

// accept stores a value unless a higher number has been promised. Accepting a proposal also promises its number.
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

// knowsLostDisk reports whether a member whose promise is counted has lost its disk since, be it this member or one
// that caught up from it. The write would count a promise that is no longer kept.
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

// renew extends the lease for its owner. It may be granted on a promise that is not on disk yet: a proposer that became
// the owner under a higher number since then either still needs this member's promise, or already has it, and the
// promise is found here.
func (s *AcceptorState) renew(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	reply = s.confirmPromise(message, reply)
	if reply.Granted {
		s.extendLease(message.Key, environment.now)
	}
	return reply, nil
}

// release ends the grant of a lease, for its owner only: the lease of another owner has to expire.
func (s *AcceptorState) release(message Message, reply Reply, _ stepEnvironment) (Reply, []Register) {
	reply = s.confirmPromise(message, reply)
	if reply.Granted {
		delete(s.Grants, message.Key)
	}
	return reply, nil
}

// confirmPromise grants a message if the member's promise is still the one that the message's proposer received.
func (s *AcceptorState) confirmPromise(message Message, reply Reply) Reply {
	register := s.Registers[message.Key]
	reply.Register = register.WithoutValue()
	reply.Granted = register.Promised == message.Proposal
	if !reply.Granted {
		reply.Rejection = RejectedPromised
	}
	return reply
}

// digest lists the accepted proposals that are on disk, except those of the keys that applications share.
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

// fetch returns a value that is on disk.
func (s *AcceptorState) fetch(message Message, reply Reply, environment stepEnvironment) (Reply, []Register) {
	reply.Register = environment.durable[message.Key]
	reply.Granted = reply.Register.IsAccepted()
	if !reply.Granted {
		reply.Rejection = RejectedNoValue
	}
	return reply, nil
}

// catchUp returns everything that this member has decided to a member without a vote. The sender's disk incarnation is
// on this member's disk before the reply is sent: from then on this member rejects every write that counts a promise of
// an earlier incarnation.
func (s *AcceptorState) catchUp(message Message, reply Reply, _ stepEnvironment) (Reply, []Register) {
	for _, key := range slices.Sorted(maps.Keys(s.Registers)) {
		if !isReserved(key) {
			reply.Registers = append(reply.Registers, s.Registers[key])
		}
	}
	incarnation := s.senderIncarnationRegister(message)
	reply.Granted = true
	reply.DiskIncarnationCount = incarnation.Sequence
	reply.BootstrapCompleted = LocalStateOf(s.Registers).BootstrapCompleted
	return reply, []Register{incarnation}
}

// senderIncarnationRegister returns the register that records the disk incarnation of the sender of an
// OperationCatchUp.
func (s *AcceptorState) senderIncarnationRegister(message Message) Register {
	previous := s.Registers[diskIncarnationPrefix+message.Sender]
	return diskIncarnationRegister(previous, message.Sender, message.DiskIncarnation)
}
