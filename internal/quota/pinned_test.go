package quota

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestMessages_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"stamp":              new(Stamp),
		"loan":               new(Loan),
		"question to lend":   new(LendRequest),
		"answer on lending":  new(LendReply),
		"question to borrow": new(BorrowRequest),
		"answer on borrowed": new(BorrowReply),
		"holding":            new(TenantBalance),
		"debt":               new(LeasedShare),
	})
}
