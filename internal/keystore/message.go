package keystore

import "encoding/json"

// Operation names what a message asks of a member.
type Operation string

// The operations between members.
const (
	// OperationPrepare asks for a promise to accept nothing of the key below the ballot.
	OperationPrepare Operation = "promise"
	// OperationAccept asks the member to keep a value on its disk.
	OperationAccept Operation = "accept"
	// OperationRenew asks whether the promise of the ballot still stands, and prolongs a lease.
	OperationRenew Operation = "renew"
	// OperationRelease ends the grant of a lease early.
	OperationRelease Operation = "release"
	// OperationDigest asks for ballot and sequence of all keys.
	OperationDigest Operation = "digest"
	// OperationFetch asks for one key with its value.
	OperationFetch Operation = "fetch"
	// OperationCatchUp asks for all keys on behalf of a member without a vote.
	OperationCatchUp Operation = "catch_up"
)

// Message is a question to a member. Membership is the list under which the sender counts
// answers; Incarnations are those of the members whose promises the sender counted.
type Message struct {
	Operation        Operation         `json:"operation"`
	Sender           string            `json:"sender"`
	Key              string            `json:"key,omitempty"`
	Proposal         ProposalNumber    `json:"ballot,omitzero"`
	Sequence         uint64            `json:"sequence,omitempty"`
	Value            json.RawMessage   `json:"value,omitempty"`
	Membership       Membership        `json:"members"`
	DiskIncarnations map[string]uint64 `json:"incarnations,omitempty"`
	DiskIncarnation  uint64            `json:"incarnation,omitempty"`
}

// Rejection is the reason why a member did not grant what a message asked.
type Rejection string

// The refusals.
const (
	RejectedNotVoting        Rejection = "not voting before it has caught up"
	RejectedOlderMembership  Rejection = "older members"
	RejectedPromised         Rejection = "promised higher"
	RejectedLeaseActive      Rejection = "lease runs"
	RejectedDiskLost         Rejection = "member wiped since the promise"
	RejectedNoValue          Rejection = "no value"
	RejectedUnknownOperation Rejection = "unknown operation"
	RejectedDiskError        Rejection = "disk did not take it"
	RejectedDiskQueueFull    Rejection = "disk queue full"
	RejectedStateChanged     Rejection = "state moved on since it was read"
	RejectedUnreachable      Rejection = "not reached"
)

// contended says that the key has, or may have, another owner: trying again may help.
func (r Rejection) isContended() bool { return r == RejectedPromised || r == RejectedLeaseActive }

// Reply is a member's answer. Membership is the newest list that it knows. Known holds the
// incarnations of members that caught up here, so that a reply from before such a loss of a
// disk can be told from one after it.
type Reply struct {
	Granted               bool              `json:"granted"`
	Rejection             Rejection         `json:"reason,omitempty"`
	DiskIncarnation       uint64            `json:"incarnation"`
	Register              Register          `json:"slot,omitzero"`
	Registers             []Register        `json:"slots,omitempty"`
	Membership            Membership        `json:"members"`
	KnownDiskIncarnations map[string]uint64 `json:"known,omitempty"`
	// Lives is how many incarnations of a member that catches up have asked here, this one counted.
	DiskIncarnationCount uint64 `json:"lives,omitempty"`
	// NeverVoted says that a member without a vote never had one on its present disk; Seeds are the founders by
	// its settings. Completed says that the member saw every founder vote.
	NeverVoted         bool     `json:"neverVoted,omitempty"`
	Seeds              []string `json:"seeds,omitempty"`
	BootstrapCompleted bool     `json:"completed,omitempty"`
}

// IsZero leaves an empty slot out of JSON.
func (r Register) IsZero() bool {
	return r.Key == "" && r.Promised.IsZero() && r.AcceptedProposal.IsZero() && r.Sequence == 0 && r.Value == nil
}
