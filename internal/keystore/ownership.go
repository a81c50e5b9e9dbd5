package keystore

import (
	"encoding/json"
	"maps"
)

// Ownership is what a proposer knows of a key that it owns, that is, for which a quorum promised its proposal number. All
// its methods are pure.
type Ownership struct {
	proposal ProposalNumber
	// register holds the value in force.
	register Register
	// adoptedFrom is the number under which the adopted value had been accepted, zero if there was none.
	adoptedFrom ProposalNumber
	// diskIncarnations are those of the members that promised, by address.
	diskIncarnations map[string]uint64
	// uncertainSequence is that of the last proposal with an unknown outcome.
	uncertainSequence uint64
}

// PrepareMessage asks for the promises on which NewOwnership concludes.
func PrepareMessage(key string, proposal ProposalNumber) Message {
	return Message{Operation: OperationPrepare, Key: key, Proposal: proposal}
}

// NewOwnership concludes from the promises of a quorum which value the new owner adopts: the newest that any of the
// members has accepted. A value that was chosen was accepted by a quorum, which shares a member with this one, so the new
// owner finds it or a newer one. If it adopted anything else, an acknowledged value would be lost.
func NewOwnership(key string, proposal ProposalNumber, replies map[string]Reply) Ownership {
	prepared := replySet{replies: replies}
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
	adopted := Register{
		Key:      key,
		Promised: proposal,
		Accepted: proposal,
		Sequence: newest.Sequence,
		Value:    newest.Value,
	}
	if !newest.IsAccepted() {
		adopted.Accepted = ProposalNumber{}
	}
	return Ownership{
		proposal:         proposal,
		register:         adopted,
		adoptedFrom:      newest.Accepted,
		diskIncarnations: diskIncarnations,
	}
}

// NeedsRecommit says whether there is an adopted value, which must be committed under this owner's number before anything
// is decided on it. It may stand on a minority: another owner that does not find it would go on from an older value,
// after this owner has acted on it.
func (o Ownership) NeedsRecommit() bool { return o.register.IsAccepted() }

// NextProposal is the proposal that follows the value in force.
func (o Ownership) NextProposal(value json.RawMessage) Register {
	next := o.register
	next.Promised, next.Accepted = o.proposal, o.proposal
	next.Sequence = max(next.Sequence, o.uncertainSequence) + 1
	next.Value = value
	return next
}

// AcceptMessage asks members to accept a proposal of this owner. It names the disk incarnations of all members whose
// promises are counted, so that a member that knows of a later loss of such a disk rejects it.
func (o Ownership) AcceptMessage(proposal Register) Message {
	return Message{
		Operation:        OperationAccept,
		Key:              proposal.Key,
		Proposal:         proposal.Accepted,
		Sequence:         proposal.Sequence,
		Value:            proposal.Value,
		DiskIncarnations: o.diskIncarnations,
	}
}

// CountsAcceptance says whether a reply counts towards the majority that makes a write certain: only that of a member that
// promised, and has not lost its disk since. A member that did not promise may have promised a lower number to another
// owner, whose value would then be chosen beside this one.
func (o Ownership) CountsAcceptance(address string, reply Reply) bool {
	promised, counted := o.diskIncarnations[address]
	return reply.Granted && counted && promised == reply.DiskIncarnation
}

// WithPromise is the ownership after one more member's promise of the same number has come in: from then on its
// acceptances count too.
func (o Ownership) WithPromise(address string, reply Reply) Ownership {
	if !reply.Granted {
		return o
	}
	o.diskIncarnations = maps.Clone(o.diskIncarnations)
	o.diskIncarnations[address] = reply.DiskIncarnation
	return o
}

// Current is the value on which the owner decides: the one that it adopted, or the last one that it wrote.
func (o Ownership) Current() Register { return o.register }

// WithCommitted is the ownership after a proposal of NextProposal became certain.
func (o Ownership) WithCommitted(proposal Register) Ownership {
	o.register = proposal
	return o
}

// WithUncertain is the ownership after a proposal of NextProposal that may or may not be in force: the next one
// supersedes it.
func (o Ownership) WithUncertain(proposal Register) Ownership {
	o.uncertainSequence = proposal.Sequence
	return o
}

// IsCertain says whether Current is known to be the value in force.
func (o Ownership) IsCertain() bool { return o.uncertainSequence <= o.register.Sequence }
