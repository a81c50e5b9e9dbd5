package quota

import "time"

// TenantBalance is what a home holds for one tenant.
type TenantBalance struct {
	Tenant string  `json:"tenant"`
	Share  float64 `json:"share"`
	Tokens float64 `json:"tokens"`
}

// Holdings lists the tenants of the groups that something is lent of, with the part of the limit and the tokens that are here.
func (p *Pool) TenantBalances(now time.Time) []TenantBalance {
	p.expireLoans(now)
	p.accrueAll(now)
	var held []TenantBalance
	for _, group := range p.groups {
		if group.share <= 0 {
			continue
		}
		for tenant, bucket := range group.buckets {
			held = append(held, TenantBalance{Tenant: tenant, Share: group.share, Tokens: bucket.tokens})
		}
	}
	return held
}

// LeasedShare is what a home may have of a lender's share of a group.
type LeasedShare struct {
	HomeShard string  `json:"home"`
	Group     int     `json:"group"`
	Share     float64 `json:"share"`
}

// Debts lists what may be lent now.
func (l *Lender) LeasedShares(now time.Time) []LeasedShare {
	l.expireLeases(now)
	var debts []LeasedShare
	for key, entries := range l.leases {
		debts = append(debts, LeasedShare{HomeShard: key.homeShard, Group: key.group, Share: largestShare(entries)})
	}
	return debts
}
