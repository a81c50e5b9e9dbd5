package quota

import "time"

// TenantBalance is what a home shard holds for one tenant: the part of its limit, and the tokens.
type TenantBalance struct {
	Tenant string  `json:"tenant"`
	Share  float64 `json:"share"`
	Tokens float64 `json:"tokens"`
}

// TenantBalances returns the balance of each tenant whose group is lent to this home shard, in no order.
func (p *Pool) TenantBalances(now time.Time) []TenantBalance {
	p.expireLoans(now)
	var balances []TenantBalance
	for _, group := range p.groups {
		group.accrue(now)
		if group.share <= 0 {
			continue
		}
		for tenant, bucket := range group.buckets {
			balances = append(balances, TenantBalance{Tenant: tenant, Share: group.share, Tokens: bucket.tokens})
		}
	}
	return balances
}

// LeasedShare is what a home shard may hold of a lender's share of a group.
type LeasedShare struct {
	HomeShard string  `json:"home"`
	Group     int     `json:"group"`
	Share     float64 `json:"share"`
}

// LeasedShares returns what may be leased now, in no order.
func (l *Lender) LeasedShares(now time.Time) []LeasedShare {
	l.leases.expire(now)
	var shares []LeasedShare
	for key, leases := range l.leases {
		shares = append(shares, LeasedShare{HomeShard: key.homeShard, Group: key.group, Share: largestShare(leases)})
	}
	return shares
}
