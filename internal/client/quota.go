package client

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
)

// Quota decides whether a tenant may send one more request. Any goroutine may call it.
type Quota interface {
	// Take takes one request from what the tenant may still send over all data planes. It may wait for the answer of
	// another one, and for as long as the patience where that can't be told. The error is what the client is answered
	// where it may not be sent.
	Take(ctx context.Context, tenant *configuration.Tenant, patience QuotaPatience) error
}

// QuotaPatience is how long a request may wait to learn whether it is within its quota: Alone where only this data plane
// can't tell, so that the client can still try elsewhere in time, and Together where others can't either.
type QuotaPatience struct {
	Alone    time.Duration
	Together time.Duration
}

// quotaPatienceDivisor makes the parts of a request's aim and of its time that are its patience.
const quotaPatienceDivisor = 5

// withinQuota is asked once for each request of a client, after it has been read whole and before it is queued.
func (d *Handler) withinQuota(ctx context.Context, taken *parsedRequest) error {
	if d.Quota == nil || taken.access.tenant == configuration.NoTenant {
		return nil
	}
	request := taken.request
	alone := request.LatencyTarget / quotaPatienceDivisor
	patience := QuotaPatience{
		Alone:    alone,
		Together: max(alone, request.Deadline.Sub(request.Arrived)/quotaPatienceDivisor),
	}
	return d.Quota.Take(ctx, taken.access.table.Tenant(taken.access.tenant), patience)
}
