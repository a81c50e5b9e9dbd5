package dataplane

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"ferryspar/internal/quota"
)

// quotaStatus is what operators see of the limits of tenants at one data plane: what is lent to it and what it lent.
type quotaStatus struct {
	Holdings []quota.TenantBalance `json:"holds"`
	Lent     []quota.LeasedShare   `json:"lent"`
}

// status tells the present state, in order of names.
func (q *Quotas) status() quotaStatus {
	q.lock.Lock()
	now := q.clock()
	status := quotaStatus{Holdings: q.pool.TenantBalances(now), Lent: q.lender.LeasedShares(now)}
	q.lock.Unlock()
	slices.SortFunc(status.Holdings, func(left, right quota.TenantBalance) int { return cmp.Compare(left.Tenant, right.Tenant) })
	slices.SortFunc(status.Lent, func(left, right quota.LeasedShare) int {
		return cmp.Or(cmp.Compare(left.Group, right.Group), cmp.Compare(left.HomeShard, right.HomeShard))
	})
	return status
}

// serveStatus answers with the status.
func (q *Quotas) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(q.status())
}
