package keystore

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrMalformedProposalNumber is returned for a text that ProposalNumber.String does not produce.
var ErrMalformedProposalNumber = errors.New("malformed proposal number")

// ProposalNumber identifies and orders the attempts of proposers to own a key (a ballot, in the terms of the Paxos
// papers). The zero ProposalNumber is below all others.
//
// No two attempts share a number: it names the proposer and the incarnation of the proposer's process, and the round
// only increases within an incarnation. If two attempts shared a number, an acceptor could count a promise given to one
// of them for the other, and two different values could be accepted under the same number.
type ProposalNumber struct {
	Round    uint64
	Proposer string
	// Incarnation is a random number that a process draws when it starts.
	Incarnation uint64
}

// Compare orders proposal numbers by round, then proposer, then incarnation.
func (n ProposalNumber) Compare(other ProposalNumber) int {
	return cmp.Or(
		cmp.Compare(n.Round, other.Round),
		cmp.Compare(n.Proposer, other.Proposer),
		cmp.Compare(n.Incarnation, other.Incarnation),
	)
}

// Less reports whether n is ordered before other.
func (n ProposalNumber) Less(other ProposalNumber) bool { return n.Compare(other) < 0 }

// IsZero reports whether n names no attempt; encoding/json omits it then.
func (n ProposalNumber) IsZero() bool { return n == ProposalNumber{} }

func maxProposalNumber(left, right ProposalNumber) ProposalNumber {
	if left.Less(right) {
		return right
	}
	return left
}

const (
	proposalNumberFields    = 3
	proposalNumberSeparator = "."
	decimal                 = 10
	hexadecimal             = 16
	proposalNumberBits      = 64
)

// String returns the round, the incarnation in hexadecimal and the proposer, separated by dots. The proposer comes last
// because an address may contain dots itself.
func (n ProposalNumber) String() string {
	return strconv.FormatUint(n.Round, decimal) + proposalNumberSeparator +
		strconv.FormatUint(n.Incarnation, hexadecimal) + proposalNumberSeparator + n.Proposer
}

// MarshalJSON encodes the proposal number as one string.
func (n ProposalNumber) MarshalJSON() ([]byte, error) { return json.Marshal(n.String()) }

const (
	legacyRoundShift      = 32
	legacyIncarnationMask = 1<<legacyRoundShift - 1
)

// UnmarshalJSON decodes the string form, and the integer that earlier versions wrote to disk (the round in the upper
// half, the incarnation in the lower). It returns ErrMalformedProposalNumber for any other text.
func (n *ProposalNumber) UnmarshalJSON(content []byte) error {
	if legacy, err := strconv.ParseUint(string(content), decimal, proposalNumberBits); err == nil {
		*n = ProposalNumber{Round: legacy >> legacyRoundShift, Incarnation: legacy & legacyIncarnationMask}
		return nil
	}
	var text string
	if err := json.Unmarshal(content, &text); err != nil {
		return err
	}
	fields := strings.SplitN(text, proposalNumberSeparator, proposalNumberFields)
	if len(fields) != proposalNumberFields {
		return errors.Wrapf(ErrMalformedProposalNumber, "%q", text)
	}
	round, err := strconv.ParseUint(fields[0], decimal, proposalNumberBits)
	if err != nil {
		return errors.Wrapf(ErrMalformedProposalNumber, "round of %q", text)
	}
	incarnation, err := strconv.ParseUint(fields[1], hexadecimal, proposalNumberBits)
	if err != nil {
		return errors.Wrapf(ErrMalformedProposalNumber, "incarnation of %q", text)
	}
	*n = ProposalNumber{Round: round, Incarnation: incarnation, Proposer: fields[2]}
	return nil
}
