package dataplane

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestQuotaStatus_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{"limits of tenants": new(quotaStatus)})
}
