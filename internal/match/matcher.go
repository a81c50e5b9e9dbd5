package match

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"ferryspar/internal/partner"
	"ferryspar/internal/problem"
)

type Matcher struct {
	parameters Parameters
	area       string
	clock      func() time.Time
	current    *atomic.Pointer[Fleet]
	fleet      *Fleet
	submitted  chan *Order
	withdrawn  chan *Order
	reports    chan Report
	asked      chan chan partner.Pressure
	forgets    chan func(*Ledger)
	changed    chan struct{}
	banks      map[string]*bank
	paces      map[string]float64
	ledger     *Ledger
	waiting    []*Order
	fresh      int
	emitAt     time.Time
	arrivals   map[[2]string]int
	running    map[[2]string]int
	aims       map[[2]string]float64
	reads      map[[2]string]float64
	Nudge      chan struct{}
	leaving    atomic.Bool
	OnDistrust func(replica string)
	OnWanted   func(backend, model string)
	Trusts     func(now time.Time) bool
}

func NewMatcher(parameters Parameters, area string, clock func() time.Time, current *atomic.Pointer[Fleet]) *Matcher {
	return &Matcher{
		parameters: parameters, area: area, clock: clock, current: current, fleet: &Fleet{},
		submitted: make(chan *Order, 256), withdrawn: make(chan *Order, 256), reports: make(chan Report, 1024),
		asked: make(chan chan partner.Pressure), forgets: make(chan func(*Ledger), 8), changed: make(chan struct{}, 1),
		banks: map[string]*bank{}, paces: map[string]float64{}, ledger: NewLedger(parameters.LedgerBound, parameters.LedgerLife),
		arrivals: map[[2]string]int{}, running: map[[2]string]int{}, aims: map[[2]string]float64{}, reads: map[[2]string]float64{}, Nudge: make(chan struct{}, 1),
	}
}

func (m *Matcher) Submit(ctx context.Context, order *Order) Command {
	order.Answer = make(chan Command, 1)
	select {
	case m.submitted <- order:
	case <-ctx.Done():
		return Command{Problem: problem.New(problem.Overloaded, "given up before it was taken in")}
	}
	select {
	case command := <-order.Answer:
		return command
	case <-ctx.Done():
		m.withdrawn <- order
		return Command{Problem: problem.New(problem.Overloaded, "client gone or deadline reached")}
	}
}

func (m *Matcher) Report(ticket *Ticket, outcome Outcome) {
	m.reports <- Report{Ticket: ticket, Outcome: outcome, At: m.clock()}
}

func (m *Matcher) Changed() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Matcher) Leave() {
	m.leaving.Store(true)
	m.Changed()
}

func (m *Matcher) Pressure(ctx context.Context) partner.Pressure {
	answer := make(chan partner.Pressure, 1)
	select {
	case m.asked <- answer:
		return <-answer
	case <-ctx.Done():
		return partner.Pressure{}
	}
}

func (m *Matcher) Forget(change func(*Ledger)) { m.forgets <- change }

const revisit = 25 * time.Millisecond

func (m *Matcher) Run(ctx context.Context) {
	schedule := time.NewTimer(time.Hour)
	defer schedule.Stop()
	for {
		m.fleet = m.current.Load()
		schedule.Reset(m.nextWake())
		select {
		case <-ctx.Done():
			return
		case order := <-m.submitted:
			m.enter(order)
		case order := <-m.withdrawn:
			m.withdraw(order)
		case report := <-m.reports:
			m.settle(report)
		case answer := <-m.asked:
			answer <- m.pressure()
		case change := <-m.forgets:
			change(m.ledger)
		case <-m.changed:
			m.fleet = m.current.Load()
			m.emit()
		case <-schedule.C:
			m.emit()
		}
	}
}

func (m *Matcher) nextWake() time.Duration {
	if m.fresh > 0 {
		return max(m.emitAt.Sub(m.clock()), 0)
	}
	if len(m.waiting) > 0 {
		return revisit
	}
	return time.Hour
}

func (m *Matcher) enter(order *Order) {
	key := [2]string{order.Backend, order.Model}
	m.arrivals[key]++
	m.aims[key] = float64(order.Aim.Milliseconds())
	if m.OnWanted != nil {
		m.OnWanted(order.Backend, BaseModel(order.Model))
	}
	idle := len(m.waiting) == 0
	m.waiting = append(m.waiting, order)
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

func (m *Matcher) bank(id string) *bank {
	if m.banks[id] == nil {
		m.banks[id] = newBank(NewPredictor())
	}
	return m.banks[id]
}

func (m *Matcher) emit() {
	now := m.clock()
	m.fresh = 0
	if len(m.waiting) == 0 {
		return
	}
	sort.SliceStable(m.waiting, func(left, right int) bool {
		one, other := m.waiting[left], m.waiting[right]
		if one.Priority != other.Priority {
			return one.Priority < other.Priority
		}
		return one.Deadline.Before(other.Deadline)
	})
	for start := 0; start < len(m.waiting); start += m.parameters.BatchSize {
		end := min(start+m.parameters.BatchSize, len(m.waiting))
		m.assign(m.waiting[start:end], now)
	}
	for _, order := range m.waiting {
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
	select {
	case m.Nudge <- struct{}{}:
	default:
	}
}
