package keystore

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ProposalNumber numbers one attempt to own a key. It names the member that made it and the life of
// that member's process, so two members, or two lives of one member, never share a ballot.
// Within a life rounds only rise. The zero ProposalNumber is below every other.
type ProposalNumber struct {
	Round       uint64
	Proposer    string
	Incarnation uint64
}

// Compare orders ballots by round, then member, then life.
func (n ProposalNumber) Compare(other ProposalNumber) int {
	return cmp.Or(cmp.Compare(n.Round, other.Round), cmp.Compare(n.Proposer, other.Proposer), cmp.Compare(n.Incarnation, other.Incarnation))
}

// Less says whether b is ordered before other.
func (n ProposalNumber) Less(other ProposalNumber) bool { return n.Compare(other) < 0 }

// IsZero says that no attempt is named; it leaves the field out of JSON.
func (n ProposalNumber) IsZero() bool { return n == ProposalNumber{} }

func maxProposalNumber(left, right ProposalNumber) ProposalNumber {
	if left.Less(right) {
		return right
	}
	return left
}

const proposalNumberFields = 3

// String gives the round, the life in hexadecimal and the member.
func (n ProposalNumber) String() string {
	return strconv.FormatUint(n.Round, 10) + "." + strconv.FormatUint(n.Incarnation, 16) + "." + n.Proposer
}

// MarshalJSON writes the ballot as one string.
func (n ProposalNumber) MarshalJSON() ([]byte, error) { return json.Marshal(n.String()) }

const (
	legacyRoundShift      = 32
	legacyIncarnationMask = 1<<legacyRoundShift - 1
)

// UnmarshalJSON reads the string form, and the number that earlier versions wrote to disk
// (round in the upper half, a random number of the life in the lower).
func (n *ProposalNumber) UnmarshalJSON(content []byte) error {
	if legacy, err := strconv.ParseUint(string(content), 10, 64); err == nil {
		*n = ProposalNumber{Round: legacy >> legacyRoundShift, Incarnation: legacy & legacyIncarnationMask}
		return nil
	}
	var text string
	if err := json.Unmarshal(content, &text); err != nil {
		return err
	}
	fields := strings.SplitN(text, ".", proposalNumberFields)
	if len(fields) != proposalNumberFields {
		return errors.Errorf("ballot %q is malformed", text)
	}
	round, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return errors.Wrapf(err, "round of ballot %q", text)
	}
	incarnation, err := strconv.ParseUint(fields[1], 16, 64)
	if err != nil {
		return errors.Wrapf(err, "life of ballot %q", text)
	}
	*n = ProposalNumber{Round: round, Incarnation: incarnation, Proposer: fields[2]}
	return nil
}
