package keystore

import (
	"encoding/json"
	"maps"
)

// Ownership is the state of a proposer that owns a key, which means that a quorum has promised its proposal number. All
// methods are pure.
type Ownership struct {
	proposal ProposalNumber
	// register holds the value in force.
	register Register
	// adoptedFrom is the number under which the adopted value had been accepted, zero if there was no value.
	adoptedFrom ProposalNumber
	// diskIncarnations are those of the members whose promises are counted, by address.
	diskIncarnations map[string]uint64
	// uncertainSequence is the sequence of the last proposal with an unknown outcome.
	uncertainSequence uint64
}

// PrepareMessage returns the message that requests the promises from which NewOwnership is derived.
func PrepareMessage(key string, proposal ProposalNumber) Message {
	return Message{Operation: OperationPrepare, Key: key, Proposal: proposal}
}

// NewOwnership derives an ownership from the promises of a quorum. The new owner adopts the newest value that any of
// the members has accepted. A chosen value was accepted by a quorum, which shares a member with this one, so the new
// owner finds it or a newer one. Adopting any other value would lose an acknowledged write.
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

// NeedsRecommit reports whether there is an adopted value, which must be committed under this owner's number before any
// decision is based on it. Only a minority may hold the value: another owner that does not find it would continue from
// an older one, after this owner has acted on it.
func (o Ownership) NeedsRecommit() bool { return o.register.IsAccepted() }

// NextProposal returns the proposal that follows the value in force.
func (o Ownership) NextProposal(value json.RawMessage) Register {
	next := o.register
	next.Promised, next.Accepted = o.proposal, o.proposal
	next.Sequence = max(next.Sequence, o.uncertainSequence) + 1
	next.Value = value
	return next
}

// AcceptMessage returns the message that asks members to accept a proposal of this owner. It names the disk
// incarnations of all members whose promises are counted, so that a member that knows of a later loss of such a disk
// rejects it.
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

// CountsAcceptance reports whether a reply counts towards the quorum that commits a write: only that of a member that
// has promised this number, and has not lost its disk since. A member that has not promised may have promised a lower
// number to another owner, and both owners' values could then be chosen.
func (o Ownership) CountsAcceptance(address string, reply Reply) bool {
	promised, counted := o.diskIncarnations[address]
	return reply.Granted && counted && promised == reply.DiskIncarnation
}

// WithPromise returns the ownership with one more member's promise of the same number: from then on that member's
// acceptances count too.
func (o Ownership) WithPromise(address string, reply Reply) Ownership {
	if !reply.Granted {
		return o
	}
	o.diskIncarnations = maps.Clone(o.diskIncarnations)
	o.diskIncarnations[address] = reply.DiskIncarnation
	return o
}

// Current returns the value that the owner's decisions are based on: the adopted value, or the last one that it
// committed.
func (o Ownership) Current() Register { return o.register }

// WithCommitted returns the ownership after a proposal of NextProposal was committed.
func (o Ownership) WithCommitted(proposal Register) Ownership {
	o.register = proposal
	return o
}

// WithUncertain returns the ownership after a proposal of NextProposal whose outcome is unknown. The next proposal
// supersedes it.
func (o Ownership) WithUncertain(proposal Register) Ownership {
	o.uncertainSequence = proposal.Sequence
	return o
}

// IsCertain reports whether Current is known to be the value in force.
func (o Ownership) IsCertain() bool { return o.uncertainSequence <= o.register.Sequence }
