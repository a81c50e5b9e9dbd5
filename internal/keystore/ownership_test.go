package keystore_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
)

func TestOwnership_NextProposalSupersedesUncertainOne(t *testing.T) {
	owner := keystore.NewOwnership("k", keystore.ProposalNumber{
		Round:    3,
		Proposer: "a",
	}, map[string]keystore.Reply{"a": {Granted: true, DiskIncarnation: 1}})
	first := owner.NextProposal(json.RawMessage(`1`))
	assert.Assert(t, owner.IsCertain())
	owner = owner.WithUncertain(first)
	assert.Assert(t, !owner.IsCertain(), "the first may be in force")
	assert.Assert(t, !owner.Current().IsAccepted(), "the first may not be in force either")
	second := owner.NextProposal(json.RawMessage(`2`))
	assert.Assert(t, second.NewerThan(first) && second.Accepted == first.Accepted)
	owner = owner.WithCommitted(second)
	assert.Assert(t, owner.IsCertain())
	assert.Assert(t, owner.NextProposal(json.RawMessage(`3`)).NewerThan(second))
}
