package keystore_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
)

func TestGivenAnUncertainProposalThenTheNextOneOfItsOwnerSupersedesIt(t *testing.T) {
	owner := keystore.Owned("k", keystore.Ballot{Round: 3, Member: "a"}, map[string]keystore.Reply{"a": {Granted: true, Incarnation: 1}})
	first := owner.Next(json.RawMessage(`1`))
	assert.Assert(t, owner.Certain())
	owner = owner.Unclear(first)
	assert.Assert(t, !owner.Certain(), "the first may be in force")
	assert.Assert(t, !owner.InForce().Accepted(), "and may not")
	second := owner.Next(json.RawMessage(`2`))
	assert.Assert(t, second.Newer(first) && second.Ballot == first.Ballot)
	owner = owner.Wrote(second)
	assert.Assert(t, owner.Certain())
	assert.Assert(t, owner.Next(json.RawMessage(`3`)).Newer(second))
}
