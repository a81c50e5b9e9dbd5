package quota

import "time"

// Holding is what a home holds for one tenant.
type Holding struct {
	Tenant string  `json:"tenant"`
	Share  float64 `json:"share"`
	Tokens float64 `json:"tokens"`
}

// Holdings lists the tenants of the groups that something is lent of, with the part of the limit and the tokens that are here.
func (p *Pool) Holdings(now time.Time) []Holding {
	p.expire(now)
	p.accrueAll(now)
	var held []Holding
	for _, one := range p.groups {
		if one.share <= 0 {
			continue
		}
		for tenant, bucket := range one.buckets {
			held = append(held, Holding{Tenant: tenant, Share: one.share, Tokens: bucket.tokens})
		}
	}
	return held
}

// Debt is what a home may have of a lender's share of a group.
type Debt struct {
	Home  string  `json:"home"`
	Group int     `json:"group"`
	Share float64 `json:"share"`
}

// Debts lists what may be lent now.
func (l *Lender) Debts(now time.Time) []Debt {
	l.settle(now)
	var debts []Debt
	for key, entries := range l.books {
		debts = append(debts, Debt{Home: key.home, Group: key.group, Share: most(entries)})
	}
	return debts
}
