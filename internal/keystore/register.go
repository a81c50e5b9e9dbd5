package keystore

import (
	"encoding/json"
	"strings"
)

// Register is the state of one key at one acceptor: the highest proposal number that it promised, and the newest value
// that it accepted, with its proposal number and sequence.
type Register struct {
	Key string `json:"key"`
	// Promised is the highest number promised: proposals below it are not accepted.
	Promised ProposalNumber `json:"promised,omitzero"`
	// Accepted is the number of the proposal that was accepted, zero if there was none.
	Accepted ProposalNumber `json:"ballot,omitzero"`
	// Sequence numbers the proposals for one key. An owner writes repeatedly under one proposal number, and the
	// sequence orders these writes.
	Sequence uint64          `json:"sequence"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// NewerThan reports whether the value of r was proposed after that of other.
func (r Register) NewerThan(other Register) bool {
	if r.Accepted != other.Accepted {
		return other.Accepted.Less(r.Accepted)
	}
	return r.Sequence > other.Sequence
}

// SameProposal reports whether both hold the same proposal, and therefore the same value.
func (r Register) SameProposal(other Register) bool {
	return r.Accepted == other.Accepted && r.Sequence == other.Sequence
}

// IsAccepted reports whether any value was accepted.
func (r Register) IsAccepted() bool { return !r.Accepted.IsZero() }

// IsZero reports whether the register is empty; encoding/json omits it then.
func (r Register) IsZero() bool {
	return r.Key == "" && r.Promised.IsZero() && r.Accepted.IsZero() && r.Sequence == 0 && r.Value == nil
}

// WithoutValue returns the register without its value.
func (r Register) WithoutValue() Register {
	r.Value = nil
	return r
}

// mergeRegisters combines the newer value and the higher promise of two registers of one key.
func mergeRegisters(left, right Register) Register {
	merged := left
	if right.NewerThan(left) || left.Key == "" {
		merged = right
	}
	merged.Promised = maxProposalNumber(left.Promised, right.Promised)
	return merged
}

// isReserved reports whether the key is one of the acceptor's own, see names.go.
func isReserved(key string) bool { return strings.HasPrefix(key, reservedPrefix) }

// isLease reports whether the key is that of a lease, which acceptors grant for a limited time.
func isLease(key string) bool { return strings.HasPrefix(key, LeasePrefix) }

// isCoordination reports whether the key is one that applications share.
func isCoordination(key string) bool { return strings.HasPrefix(key, CoordinationPrefix) }
