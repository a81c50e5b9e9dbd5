package client

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
)

// Quota decides whether a tenant may send one more request. Any goroutine may call it.
type Quota interface {
	// Take takes one request from what the tenant may still send over all data planes. It may wait for the answer of
	// another one, and for as long as patience where that can't be told. The error is what the client is answered where
	// it may not be sent.
	Take(ctx context.Context, tenant *configuration.Tenant, patience time.Duration) error
}

// quotaPatienceDivisor makes the part of a request's aim for which it may wait to learn whether it is within its quota, so
// that its client can still try elsewhere in time.
const quotaPatienceDivisor = 5

// withinQuota is asked once for each request of a client, after it has been read whole and before it is queued.
func (d *Handler) withinQuota(ctx context.Context, taken *parsedRequest) error {
	if d.Quota == nil || taken.access.tenant == configuration.NoTenant {
		return nil
	}
	return d.Quota.Take(ctx, taken.access.table.Tenant(taken.access.tenant), taken.request.Aim/quotaPatienceDivisor)
}
