package proxy

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
)

// Quota enforces the rate limits of tenants. Implementations must be safe for concurrent use.
type Quota interface {
	// Take takes one request from the tenant's quota over all data planes. It may wait for the decision on another request, and
	// until a timeout if the remaining quota is not known. It returns the error to answer the client with if the request is
	// rejected.
	Take(ctx context.Context, tenant *configuration.Tenant, timeouts QuotaTimeouts) error
}

// QuotaTimeouts limit how long a request may wait for the decision whether it is within its tenant's quota.
type QuotaTimeouts struct {
	// Local applies if only this data plane cannot decide: the client then still has time to try another one.
	Local time.Duration
	// Fleet applies if the other data planes cannot decide either.
	Fleet time.Duration
}

// quotaTimeoutDivisor is the divisor of a request's latency target and remaining time that gives its quota timeouts.
const quotaTimeoutDivisor = 5

// checkQuota takes the request from its tenant's quota. It is called once per client request, after the request was read and
// before it is queued.
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
