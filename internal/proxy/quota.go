package proxy

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
)

// Quota enforces the rate limits of tenants. Implementations must be safe for concurrent use.
type Quota interface {
	// Take takes one request from the tenant's quota over all data planes. It waits for the decision of others until the given time at
	// the latest, and returns the error to answer the client with if the request is rejected.
	Take(ctx context.Context, tenant *configuration.Tenant, until time.Time) error
}

// checkQuota takes the request from its tenant's quota. It is called once per client request, after the request was read and
// before it is queued. It waits for a decision as long as the request can still be served after it.
func (h *Handler) checkQuota(ctx context.Context, parsed *parsedRequest) error {
	if h.Quota == nil || parsed.authorization.tenant == configuration.NoTenant {
		return nil
	}
	latestStart := parsed.request.Deadline.Add(-h.completions.mean(&parsed.request))
	return h.Quota.Take(ctx, parsed.authorization.table.Tenant(parsed.authorization.tenant), latestStart)
}
