package keystore

import (
	"encoding/json"
	"maps"
)

// Ownership is what a proposer knows of a key that it took: the ballot under which a majority
// promised, the value in force, the incarnations of the members that promised, and the sequence of
// the last proposal that was uncertain. All its functions are pure.
type Ownership struct {
	proposal          ProposalNumber
	register          Register
	diskIncarnations  map[string]uint64
	uncertainSequence uint64
}

// PrepareMessage asks for the promises on which NewOwnership concludes.
func PrepareMessage(key string, proposal ProposalNumber) Message {
	return Message{Operation: OperationPrepare, Key: key, Proposal: proposal}
}

// NewOwnership concludes from promises of a quorum which value the new owner carries on.
func NewOwnership(key string, proposal ProposalNumber, replies map[string]Reply) Ownership {
	prepared := round{replies: replies}
	newest := Register{Key: key}
	diskIncarnations := map[string]uint64{}
	for address, reply := range replies {
		if !prepared.countsPromise(address, reply) {
			continue
		}
		diskIncarnations[address] = reply.DiskIncarnation
		if reply.Register.NewerThan(newest) {
			newest = reply.Register
		}
	}
	adopted := Register{Key: key, Promised: proposal, AcceptedProposal: proposal, Sequence: newest.Sequence, Value: newest.Value}
	if !newest.IsAccepted() {
		adopted.AcceptedProposal = ProposalNumber{}
	}
	return Ownership{proposal: proposal, register: adopted, diskIncarnations: diskIncarnations}
}

// Carries says whether there is an earlier value that must be committed anew before anything
// is decided on it.
func (o Ownership) NeedsRecommit() bool { return o.register.IsAccepted() }

// Next is the proposal that follows the value in force.
func (o Ownership) NextProposal(value json.RawMessage) Register {
	register := o.register
	register.Promised, register.AcceptedProposal = o.proposal, o.proposal
	register.Sequence = max(register.Sequence, o.uncertainSequence) + 1
	register.Value = value
	return register
}

// AcceptMessage asks members to keep a proposal of this owner.
func (o Ownership) AcceptMessage(register Register) Message {
	return Message{
		Operation: OperationAccept, Key: register.Key, Proposal: register.AcceptedProposal, Sequence: register.Sequence, Value: register.Value,
		DiskIncarnations: o.diskIncarnations,
	}
}

// Accepts says whether a reply counts towards the majority that makes a write certain: only that
// of a member that promised, and has not lost its disk since. The write names the incarnations
// of all that are counted, so that members which know of a later loss of a disk refuse it.
func (o Ownership) CountsAcceptance(address string, reply Reply) bool {
	promised, counted := o.diskIncarnations[address]
	return reply.Granted && counted && promised == reply.DiskIncarnation
}

// Joined is the ownership after one more member's promise of the same ballot has come in: from
// then on its votes count too.
func (o Ownership) WithPromise(address string, reply Reply) Ownership {
	if !reply.Granted {
		return o
	}
	o.diskIncarnations = maps.Clone(o.diskIncarnations)
	o.diskIncarnations[address] = reply.DiskIncarnation
	return o
}

// Current is the value on which the owner decides: the one carried on, or the last one it wrote.
func (o Ownership) Current() Register { return o.register }

// Wrote is the ownership after a proposal of Next became certain.
func (o Ownership) WithCommitted(next Register) Ownership {
	o.register = next
	return o
}

// Unclear is the ownership after a proposal of Next that may or may not be in force: the next one
// supersedes it.
func (o Ownership) WithUncertain(next Register) Ownership {
	o.uncertainSequence = next.Sequence
	return o
}

// Certain says whether Current is known to be the value in force.
func (o Ownership) IsCertain() bool { return o.uncertainSequence <= o.register.Sequence }

func isGranted(_ string, reply Reply) bool { return reply.Granted }
