package client

import (
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
)

// Quota decides whether a tenant may send one more request. Any goroutine may call it.
type Quota interface {
	// Take takes one request from what the tenant of the table may still send. Where nothing is left, it returns false
	// and when to try again.
	Take(table *configuration.Table, tenant configuration.TenantNumber, now time.Time) (retryAfter time.Duration, allowed bool)
}

// withinQuota is asked once for each request of a client, after it has been read whole and before it is queued.
func (d *Handler) withinQuota(taken *parsedRequest, now time.Time) error {
	if d.Quota == nil || taken.access.tenant == configuration.NoTenant {
		return nil
	}
	if retryAfter, allowed := d.Quota.Take(taken.access.table, taken.access.tenant, now); !allowed {
		return apierror.Later(apierror.TenantLimit, retryAfter)
	}
	return nil
}
