package keystore

import (
	"encoding/json"
	"strings"
)

// Register is what one acceptor holds of one key: the highest proposal number that it promised, and the newest value
// that it accepted with the proposal number and the sequence under which it did.
type Register struct {
	Key string `json:"key"`
	// Promised: no proposal below it is accepted any more.
	Promised ProposalNumber `json:"promised,omitzero"`
	// Accepted is the number of the proposal that was accepted, zero if there was none.
	Accepted ProposalNumber `json:"ballot,omitzero"`
	// Sequence counts the proposals of one key. An owner writes again and again under one proposal number, and the
	// sequence orders these writes.
	Sequence uint64          `json:"sequence"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// NewerThan says whether the value of r was proposed after that of other.
func (r Register) NewerThan(other Register) bool {
	if r.Accepted != other.Accepted {
		return other.Accepted.Less(r.Accepted)
	}
	return r.Sequence > other.Sequence
}

// SameProposal says whether both hold the same proposal, and so the same value.
func (r Register) SameProposal(other Register) bool {
	return r.Accepted == other.Accepted && r.Sequence == other.Sequence
}

// IsAccepted says whether any value was accepted.
func (r Register) IsAccepted() bool { return !r.Accepted.IsZero() }

// IsZero leaves an empty register out of JSON.
func (r Register) IsZero() bool {
	return r.Key == "" && r.Promised.IsZero() && r.Accepted.IsZero() && r.Sequence == 0 && r.Value == nil
}

// WithoutValue returns the register without its value.
func (r Register) WithoutValue() Register {
	r.Value = nil
	return r
}

// mergeRegisters keeps the newer value and the higher promise of two registers of one key.
func mergeRegisters(left, right Register) Register {
	merged := left
	if right.NewerThan(left) || left.Key == "" {
		merged = right
	}
	merged.Promised = maxProposalNumber(left.Promised, right.Promised)
	return merged
}

// isReserved says whether the key is an acceptor's own, see names.go.
func isReserved(key string) bool { return strings.HasPrefix(key, reservedPrefix) }

// isLease says whether the key is that of a lease, which acceptors grant for a time.
func isLease(key string) bool { return strings.HasPrefix(key, LeasePrefix) }

// isCoordination says whether the key is one that applications share.
func isCoordination(key string) bool { return strings.HasPrefix(key, CoordinationPrefix) }
