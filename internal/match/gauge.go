package match

import "ferryspar/internal/partner"

func (m *Matcher) Gauge() partner.Pressure {
	m.fleet = m.current.Load()
	return m.pressure()
}

func (m *Matcher) Withdraw(order *Order) { m.withdraw(order) }

func (m *Matcher) Waiting() int { return len(m.waiting) }
