package keystore

import "encoding/json"

// Operation is the kind of a message.
type Operation string

// Message is a request to a member.
type Message struct {
	Operation Operation      `json:"operation"`
	Sender    string         `json:"sender"`
	Key       string         `json:"key,omitempty"`
	Proposal  ProposalNumber `json:"ballot,omitzero"`
	Sequence  uint64         `json:"sequence,omitempty"`
	// Value is the proposed value of an OperationAccept.
	Value json.RawMessage `json:"value,omitempty"`
	// Membership is the one under which the sender counts votes.
	Membership Membership `json:"members"`
	// DiskIncarnations are those of the members whose promises the sender of an OperationAccept counted, by address.
	DiskIncarnations map[string]uint64 `json:"incarnations,omitempty"`
	// DiskIncarnation is that of the sender of an OperationCatchUp.
	DiskIncarnation uint64 `json:"incarnation,omitempty"`
}

// Rejection is the reason why a member rejected a message.
type Rejection string

// isContended reports whether the key has, or may have, another owner, so that a retry may succeed.
func (r Rejection) isContended() bool { return r == RejectedPromised || r == RejectedLeaseActive }

// RejectionError is the error for a request of its own process that a member rejected.
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
	// Register is the register of the message's key. Its value is omitted where the sender knows it.
	Register Register `json:"slot,omitzero"`
	// Registers are all registers that the member holds, in reply to OperationDigest and OperationCatchUp.
	Registers []Register `json:"slots,omitempty"`
	// Membership is the newest that the member knows.
	Membership Membership `json:"members"`
	// KnownDiskIncarnations are those of the members that caught up from this one, by address. They distinguish replies
	// that such a member sent before the loss of its disk from later ones.
	KnownDiskIncarnations map[string]uint64 `json:"known,omitempty"`
	// DiskIncarnationCount is the number of disk incarnations of the sender of an OperationCatchUp that have caught up
	// from this member, including the present one.
	DiskIncarnationCount uint64 `json:"lives,omitempty"`
	// NeverVoted reports that a member without a vote has never had one on its present disk.
	NeverVoted bool `json:"neverVoted,omitempty"`
	// Seeds are the initial members according to the settings of a member without a vote.
	Seeds []string `json:"seeds,omitempty"`
	// BootstrapCompleted reports that the member has seen every initial member vote.
	BootstrapCompleted bool `json:"completed,omitempty"`
}

// holds reports whether the member that sent this reply to an OperationDigest holds the proposal.
func (r Reply) holds(proposal Register) bool {
	for _, register := range r.Registers {
		if register.Key == proposal.Key {
			return r.Granted && register.SameProposal(proposal)
		}
	}
	return false
}
