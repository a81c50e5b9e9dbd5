package routing

import "ferryspar/internal/configuration"

// maxTrackedTenants is the number of tracked tenants from which those without effect on the order are dropped.
const maxTrackedTenants = 1024

// fairQueue assigns start tags by which the waiting requests of one priority are ordered (start-time fair queueing): the start
// tags of a tenant's requests are one unit of virtual time apart, and virtual time is the start tag of the last request that
// was assigned a replica. A burst of one tenant therefore waits behind the few requests of the others, and an idle tenant
// accumulates no credit. The zero value is ready to use. It belongs to the matcher's goroutine.
type fairQueue struct {
	// virtualTime is the start tag of the last request that was assigned.
	virtualTime float64
	// nextStart is the lowest start tag of a tenant's next request.
	nextStart map[configuration.TenantNumber]float64
}

// startTag returns the start tag of a request that arrives: for a request without a tenant, the current virtual time.
func (t *fairQueue) startTag(tenant configuration.TenantNumber) float64 {
	if tenant == configuration.NoTenant {
		return t.virtualTime
	}
	if t.nextStart == nil {
		t.nextStart = map[configuration.TenantNumber]float64{}
	}
	if len(t.nextStart) >= maxTrackedTenants {
		t.dropIdle()
	}
	start := max(t.virtualTime, t.nextStart[tenant])
	t.nextStart[tenant] = start + 1
	return start
}

// advance moves virtual time on to the start tag of a request that was assigned.
func (t *fairQueue) advance(start float64) { t.virtualTime = max(t.virtualTime, start) }

// release takes back the start tag of a request that was rejected or cancelled, so that it does not delay the tenant's next one.
func (t *fairQueue) release(tenant configuration.TenantNumber) {
	if next, known := t.nextStart[tenant]; known {
		t.nextStart[tenant] = max(next-1, 0)
	}
}

// dropIdle drops tenants whose next request would get the current virtual time anyway.
func (t *fairQueue) dropIdle() {
	for tenant, next := range t.nextStart {
		if next <= t.virtualTime {
			delete(t.nextStart, tenant)
		}
	}
}
