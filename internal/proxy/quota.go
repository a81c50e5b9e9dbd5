package proxy

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
)

// Quota decides whether a tenant may send one more request. Any goroutine may call it.
type Quota interface {
	// Take takes one request from what the tenant may still send over all data planes. It may wait for the decision on
	// another request, and until a timeout where none can be made. The error is what the client is answered if its request
	// may not be sent.
	Take(ctx context.Context, tenant *configuration.Tenant, timeouts QuotaTimeouts) error
}

// QuotaTimeouts are how long a request may wait to learn whether it is within its quota.
type QuotaTimeouts struct {
	// Local is the timeout where only this data plane can't tell, so that the client can still try elsewhere in time.
	Local time.Duration
	// Fleet is the timeout where the others can't tell either.
	Fleet time.Duration
}

// quotaTimeoutDivisor makes the parts of a request's latency target and of its time that are its timeouts.
const quotaTimeoutDivisor = 5

// checkQuota is called once for each request of a client, after it has been read whole and before it is queued.
func (h *Handler) checkQuota(ctx context.Context, parsed *parsedRequest) error {
	if h.Quota == nil || parsed.authorization.tenant == configuration.NoTenant {
		return nil
	}
	request := parsed.request
	local := request.LatencyTarget / quotaTimeoutDivisor
	timeouts := QuotaTimeouts{
		Local: local,
		Fleet: max(local, request.Deadline.Sub(request.ArrivedAt)/quotaTimeoutDivisor),
	}
	return h.Quota.Take(ctx, parsed.authorization.table.Tenant(parsed.authorization.tenant), timeouts)
}
