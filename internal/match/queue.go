package match

import (
	"slices"
	"time"

	"ferryspar/internal/problem"
)

func (m *Matcher) enter(order *Order) {
	key := [2]string{order.Backend, order.Model}
	m.arrivals[key]++
	m.aims[key] = float64(order.Aim.Milliseconds())
	if m.OnWanted != nil {
		m.OnWanted(order.Backend, BaseModel(order.Model))
	}
	m.ledger.sample(order)
	if m.fleet.Drill != nil {
		m.fleet.Drill.mark(order, m.clock())
	}
	idle := len(m.waiting) == 0
	m.queue(order)
	m.fresh++
	if len(m.waiting) > m.parameters.QueueBound {
		m.dropLowest()
	}
	if m.fresh == 1 {
		m.emitAt = m.clock().Add(m.parameters.BatchWait)
	}
	if idle && len(m.submitted) == 0 || m.fresh >= m.parameters.BatchSize {
		m.emit()
	}
}

func (m *Matcher) withdraw(order *Order) {
	if !order.settled {
		order.settled = true
		m.keepUnsettled()
		return
	}
	select {
	case command := <-order.Answer:
		if command.Ticket != nil {
			m.settle(Report{Ticket: command.Ticket, Outcome: OutcomeCancelled, At: m.clock()})
		}
	default:
	}
}

func (m *Matcher) dropLowest() {
	lowest := m.waiting[0]
	for _, order := range m.waiting {
		if order.Priority > lowest.Priority || order.Priority == lowest.Priority && order.Arrived.After(lowest.Arrived) {
			lowest = order
		}
	}
	m.answer(lowest, Command{Problem: problem.Later(problem.Overloaded, m.comeBack(lowest))})
	m.keepUnsettled()
}

func (m *Matcher) answer(order *Order, command Command) {
	order.settled = true
	if order.drill != nil && command.Problem != nil {
		order.drill.refused(order)
	}
	order.indexed, order.holders = nil, nil
	order.Answer <- command
}

func (m *Matcher) keepUnsettled() {
	kept := m.waiting[:0]
	for _, order := range m.waiting {
		if !order.settled {
			kept = append(kept, order)
		}
	}
	clear(m.waiting[len(kept):])
	m.waiting = kept
}

func byRank(one, other *Order) int {
	if one.Priority != other.Priority {
		return one.Priority - other.Priority
	}
	return one.Deadline.Compare(other.Deadline)
}

func (m *Matcher) queue(order *Order) {
	at, _ := slices.BinarySearchFunc(m.waiting, order, func(held, fresh *Order) int {
		if byRank(held, fresh) <= 0 {
			return -1
		}
		return 1
	})
	m.waiting = slices.Insert(m.waiting, at, order)
}

func (m *Matcher) emit() {
	now := m.clock()
	m.fresh = 0
	m.visitAt = now.Add(revisit)
	m.review(now)
	m.try(m.waiting, now)
}

func (m *Matcher) retry(replica string) {
	position, listed := m.index.positions[replica]
	if !listed {
		return
	}
	m.picked = m.picked[:0]
	for _, order := range m.waiting {
		if order.heldAt(m.index, position) {
			m.picked = append(m.picked, order)
		}
	}
	m.try(m.picked, m.clock())
	clear(m.picked)
}

func (m *Matcher) try(orders []*Order, now time.Time) {
	if len(orders) == 0 {
		return
	}
	for start := 0; start < len(orders); start += m.parameters.BatchSize {
		end := min(start+m.parameters.BatchSize, len(orders))
		m.assign(orders[start:end], now)
	}
	for _, order := range orders {
		if !order.settled {
			m.tellUnplaced(order)
			m.expire(order, now)
		}
	}
	m.keepUnsettled()
}

func (m *Matcher) tellUnplaced(order *Order) {
	if !order.unplaced || order.told {
		return
	}
	order.told = true
	m.nudge()
}

func (m *Matcher) nudge() {
	select {
	case m.Nudge <- struct{}{}:
	default:
	}
}
