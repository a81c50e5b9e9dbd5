package keystore

import (
	"encoding/json"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func TestProposalNumber_OrderedByRoundProposerIncarnation(t *testing.T) {
	ordered := []ProposalNumber{
		{},
		{Round: 1, Proposer: "a", Incarnation: 1},
		{Round: 1, Proposer: "a", Incarnation: 2},
		{Round: 1, Proposer: "b", Incarnation: 1},
		{Round: 2, Proposer: "a", Incarnation: 1},
	}
	assert.Assert(t, slices.IsSortedFunc(ordered, ProposalNumber.Compare))
	for position := range ordered[1:] {
		assert.Assert(t, ordered[position].Less(ordered[position+1]))
		assert.Assert(t, !ordered[position+1].Less(ordered[position]))
	}
}

func TestProposalNumber_JSONRoundTrip(t *testing.T) {
	for _, proposal := range []ProposalNumber{
		{},
		{Round: 7, Proposer: "10.0.0.1:7000", Incarnation: 1 << 63},
		{Round: 1, Proposer: "a.b", Incarnation: 10},
	} {
		content, err := json.Marshal(proposal)
		assert.NilError(t, err)
		var read ProposalNumber
		assert.NilError(t, json.Unmarshal(content, &read))
		assert.Equal(t, read, proposal)
	}
}

func TestProposalNumber_ReadsLegacyFormat(t *testing.T) {
	var read ProposalNumber
	assert.NilError(t, json.Unmarshal([]byte("12884901893"), &read))
	assert.Equal(t, read, ProposalNumber{Round: 3, Incarnation: 5})
}

func TestProposalNumber_RejectsMalformedText(t *testing.T) {
	for _, content := range []string{`""`, `"7"`, `"x.1.a"`, `"1.y.a"`, `{}`, `true`} {
		var read ProposalNumber
		assert.Assert(t, json.Unmarshal([]byte(content), &read) != nil, content)
	}
}

func TestStore_IncarnationsShareNoProposalNumber(t *testing.T) {
	seen := map[ProposalNumber]bool{}
	for _, incarnation := range []uint64{1, 2} {
		for _, self := range []string{"a", "b"} {
			store := NewStore(self, incarnation, nil, Membership{})
			for range 100 {
				proposal := store.nextProposalNumber()
				assert.Assert(t, !seen[proposal], proposal.String())
				seen[proposal] = true
			}
		}
	}
}
