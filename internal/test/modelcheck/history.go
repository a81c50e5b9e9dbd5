package modelcheck

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
)

// committedValue is a value that some observer may conclude to be committed: a proposer after a recommit, write or digest,
// or any digest that a majority would reply to at this moment.
type committedValue struct {
	Key      string
	Proposal keystore.ProposalNumber
	Sequence uint64
	Value    json.RawMessage
}

func newCommittedValue(key string, register keystore.Register) committedValue {
	return committedValue{
		Key:      key,
		Proposal: register.Accepted,
		Sequence: register.Sequence,
		Value:    register.Value,
	}
}

func (v committedValue) register() keystore.Register {
	return keystore.Register{Key: v.Key, Accepted: v.Proposal, Sequence: v.Sequence, Value: v.Value}
}

func (v committedValue) compare(other committedValue) int {
	return cmp.Or(
		cmp.Compare(v.Key, other.Key),
		v.Proposal.Compare(other.Proposal),
		cmp.Compare(v.Sequence, other.Sequence),
	)
}

// acknowledgement is a change whose caller was told that it is committed.
type acknowledgement struct {
	Label string
	Tick  int
}

// history is what an external observer of the whole cluster has recorded; no decision depends on it. Its lists are sorted, so
// that equal histories have one encoding.
type history struct {
	Committed    []committedValue
	Acknowledged []acknowledgement
}

func (h *history) clone() *history {
	return &history{Committed: slices.Clone(h.Committed), Acknowledged: slices.Clone(h.Acknowledged)}
}

// addCommitted records a value and checks that all committed values of its key form one chain: in the order of (proposal
// number, sequence) each extends the one before.
func (h *history) addCommitted(value committedValue) error {
	for _, other := range h.Committed {
		if other.Key != value.Key {
			continue
		}
		if other.register().SameProposal(value.register()) {
			if string(other.Value) != string(value.Value) {
				return errors.Errorf("%s: %s and %s share proposal number %s and sequence %d",
					value.Key, other.Value, value.Value, value.Proposal, value.Sequence)
			}
			return nil
		}
		earlier, later := other, value
		if other.register().NewerThan(value.register()) {
			earlier, later = value, other
		}
		if !extends(earlier, later) {
			return errors.Errorf("%s: committed %s under %s.%d is replaced by %s under %s.%d, which does not extend it",
				value.Key, earlier.Value, earlier.Proposal, earlier.Sequence, later.Value, later.Proposal, later.Sequence)
		}
	}
	h.Committed = append(h.Committed, value)
	slices.SortFunc(h.Committed, committedValue.compare)
	return nil
}

// contains reports whether a proposal is recorded already.
func (h *history) contains(register keystore.Register) bool {
	return slices.ContainsFunc(h.Committed, func(value committedValue) bool {
		return value.Key == register.Key && value.register().SameProposal(register)
	})
}

// acknowledge records a change that was acknowledged to its caller.
func (h *history) acknowledge(label string, tick int) {
	h.Acknowledged = append(h.Acknowledged, acknowledgement{Label: label, Tick: tick})
	slices.SortFunc(h.Acknowledged, func(left, right acknowledgement) int {
		return cmp.Or(cmp.Compare(left.Tick, right.Tick), cmp.Compare(left.Label, right.Label))
	})
}

// labelsUntil returns the labels of the changes that were acknowledged at or before a tick.
func (h *history) labelsUntil(until int) []string {
	var labels []string
	for _, acknowledged := range h.Acknowledged {
		if acknowledged.Tick <= until {
			labels = append(labels, acknowledged.Label)
		}
	}
	return labels
}

// extends reports whether a later value was derived from an earlier one: the value of a key lists the labels of all changes
// so far, and a membership has a higher version than its predecessor.
func extends(earlier, later committedValue) bool {
	if earlier.Key == keystore.MembershipKey {
		from, to := decodeMembership(earlier.Value), decodeMembership(later.Value)
		return from.Version < to.Version || string(earlier.Value) == string(later.Value)
	}
	from, to := decodeLabels(earlier.Value), decodeLabels(later.Value)
	return len(from) <= len(to) && slices.Equal(from, to[:len(from)])
}

func decodeLabels(value json.RawMessage) []string {
	var labels []string
	_ = json.Unmarshal(value, &labels)
	return labels
}

func decodeMembership(value json.RawMessage) keystore.Membership {
	var membership keystore.Membership
	_ = json.Unmarshal(value, &membership)
	return membership
}

// missingLabel returns the first of the labels that a value lacks, or an empty string.
func missingLabel(value json.RawMessage, labels []string) string {
	present := decodeLabels(value)
	for _, label := range labels {
		if !slices.Contains(present, label) {
			return label
		}
	}
	return ""
}
