package dataplane

import (
	"cmp"
	"slices"

	"ferryspar/internal/quota"
)

// quotaStatus is the state of tenants' limits at one data plane for operators: the balances that it holds for others and the
// shares that it has lent.
type quotaStatus struct {
	Holdings []quota.TenantBalance `json:"holds"`
	Lent     []quota.LeasedShare   `json:"lent"`
}

// status returns the current state, sorted by name.
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
