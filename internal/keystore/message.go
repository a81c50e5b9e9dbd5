package keystore

import "encoding/json"

// Operation names what a message requests of a member.
type Operation string

// Message is a request to a member.
type Message struct {
	Operation Operation      `json:"operation"`
	Sender    string         `json:"sender"`
	Key       string         `json:"key,omitempty"`
	Proposal  ProposalNumber `json:"ballot,omitzero"`
	Sequence  uint64         `json:"sequence,omitempty"`
	// Value is that of an OperationAccept.
	Value json.RawMessage `json:"value,omitempty"`
	// Membership is the one under which the sender counts votes.
	Membership Membership `json:"members"`
	// DiskIncarnations are those of the members whose promises the sender of an OperationAccept counted, by address.
	DiskIncarnations map[string]uint64 `json:"incarnations,omitempty"`
	// DiskIncarnation is that of the member that catches up.
	DiskIncarnation uint64 `json:"incarnation,omitempty"`
}

// Rejection is the reason why a member did not grant a message.
type Rejection string

// isContended says that the key has, or may have, another owner: trying again may help.
func (r Rejection) isContended() bool { return r == RejectedPromised || r == RejectedLeaseActive }

// RejectionError is the error that a member rejected what its own process asked of it.
type RejectionError struct {
	Rejection Rejection
}

// Error returns the reason.
func (e RejectionError) Error() string { return string(e.Rejection) }

// Reply is a member's answer to a Message.
type Reply struct {
	Granted   bool      `json:"granted"`
	Rejection Rejection `json:"reason,omitempty"`
	// DiskIncarnation is that of the member that replies.
	DiskIncarnation uint64 `json:"incarnation"`
	// Register is the one that the message is about; its value is left out where the sender knows it.
	Register Register `json:"slot,omitzero"`
	// Registers are all that the member holds, in reply to OperationDigest and OperationCatchUp.
	Registers []Register `json:"slots,omitempty"`
	// Membership is the newest that the member knows.
	Membership Membership `json:"members"`
	// KnownDiskIncarnations are those of the members that caught up here, by address. They tell a reply of such a member
	// from before the loss of its disk from one after it.
	KnownDiskIncarnations map[string]uint64 `json:"known,omitempty"`
	// DiskIncarnationCount is how many disk incarnations of the sender of an OperationCatchUp have caught up here, this
	// one counted.
	DiskIncarnationCount uint64 `json:"lives,omitempty"`
	// NeverVoted says that a member without a vote never had one on its present disk.
	NeverVoted bool `json:"neverVoted,omitempty"`
	// Seeds are the initial members by the settings of a member without a vote.
	Seeds []string `json:"seeds,omitempty"`
	// BootstrapCompleted says that the member has seen every initial member vote.
	BootstrapCompleted bool `json:"completed,omitempty"`
}

// holds says whether the member that gave the reply to an OperationDigest holds the proposal.
func (r Reply) holds(proposal Register) bool {
	for _, register := range r.Registers {
		if register.Key == proposal.Key {
			return r.Granted && register.SameProposal(proposal)
		}
	}
	return false
}
