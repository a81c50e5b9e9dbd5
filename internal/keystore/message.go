package keystore

import "encoding/json"

// Operation names what a message asks of a member.
type Operation string

// The operations between members.
const (
	// OperationPromise asks for a promise to accept nothing of the key below the ballot.
	OperationPromise Operation = "promise"
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

// Message is a question to a member. Members is the list under which the sender counts
// answers; Incarnations are those of the members whose promises the sender counted.
type Message struct {
	Operation    Operation         `json:"operation"`
	Sender       string            `json:"sender"`
	Key          string            `json:"key,omitempty"`
	Ballot       Ballot            `json:"ballot,omitzero"`
	Sequence     uint64            `json:"sequence,omitempty"`
	Value        json.RawMessage   `json:"value,omitempty"`
	Members      Members           `json:"members"`
	Incarnations map[string]uint64 `json:"incarnations,omitempty"`
	Incarnation  uint64            `json:"incarnation,omitempty"`
}

// Refusal is the reason why a member did not grant what a message asked.
type Refusal string

// The refusals.
const (
	RefusedNotVoting     Refusal = "not voting before it has caught up"
	RefusedOlderMembers  Refusal = "older members"
	RefusedPromised      Refusal = "promised higher"
	RefusedLeaseRuns     Refusal = "lease runs"
	RefusedWiped         Refusal = "member wiped since the promise"
	RefusedNothingThere  Refusal = "no value"
	RefusedUnknown       Refusal = "unknown operation"
	RefusedDisk          Refusal = "disk did not take it"
	RefusedDiskQueueFull Refusal = "disk queue full"
	RefusedMovedOn       Refusal = "state moved on since it was read"
	RefusedUnreached     Refusal = "not reached"
)

// contended says that the key has, or may have, another owner: trying again may help.
func (r Refusal) contended() bool { return r == RefusedPromised || r == RefusedLeaseRuns }

// Reply is a member's answer. Members is the newest list that it knows. Known holds the
// incarnations of members that caught up here, so that a reply from before such a loss of a
// disk can be told from one after it.
type Reply struct {
	Granted     bool              `json:"granted"`
	Refusal     Refusal           `json:"reason,omitempty"`
	Incarnation uint64            `json:"incarnation"`
	Slot        Slot              `json:"slot,omitzero"`
	Slots       []Slot            `json:"slots,omitempty"`
	Members     Members           `json:"members"`
	Known       map[string]uint64 `json:"known,omitempty"`
	// Lives is how many incarnations of a member that catches up have asked here, this one counted.
	Lives uint64 `json:"lives,omitempty"`
	// NeverVoted says that a member without a vote never had one on its present disk; Seeds are the founders by
	// its settings. Completed says that the member saw every founder vote.
	NeverVoted bool     `json:"neverVoted,omitempty"`
	Seeds      []string `json:"seeds,omitempty"`
	Completed  bool     `json:"completed,omitempty"`
}

// IsZero leaves an empty slot out of JSON.
func (s Slot) IsZero() bool {
	return s.Key == "" && s.Promised.IsZero() && s.Ballot.IsZero() && s.Sequence == 0 && s.Value == nil
}
