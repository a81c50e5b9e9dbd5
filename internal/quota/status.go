package quota

import "time"

// TenantBalance holds a home shard's share of a tenant's limit, and the tokens in its bucket.
type TenantBalance struct {
	Tenant string  `json:"tenant"`
	Share  float64 `json:"share"`
	Tokens float64 `json:"tokens"`
}

// TenantBalances returns the balance of each tenant of whose group a share is lent to this home shard, in no particular order.
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

// LeasedShare is the part of a lender's share of a group that a home shard may hold.
type LeasedShare struct {
	HomeShard string  `json:"home"`
	Group     int     `json:"group"`
	Share     float64 `json:"share"`
}

// LeasedShares returns the shares that may be leased at the given time, in no particular order.
func (l *Lender) LeasedShares(now time.Time) []LeasedShare {
	l.leases.expire(now)
	var shares []LeasedShare
	for key, leases := range l.leases {
		shares = append(shares, LeasedShare{HomeShard: key.homeShard, Group: key.group, Share: largestShare(leases)})
	}
	return shares
}
