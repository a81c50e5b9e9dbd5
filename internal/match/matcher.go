package match

import (
	"context"
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
	copies     chan chan *Matcher
	index      *Index
	held       []*bank
	market     market
	banks      map[string]*bank
	watched    map[string]*bank
	paces      map[string]float64
	ledger     *Ledger
	waiting    []*Order
	fresh      int
	picked     []*Order
	emitAt     time.Time
	visitAt    time.Time
	arrivals   map[[2]string]int
	running    map[[2]string]int
	aims       map[[2]string]float64
	reads      map[[2]string]float64
	Nudge      chan struct{}
	leaving    atomic.Bool
	OnDistrust func(replica string)
	OnWanted   func(backend, model string)
	health     *health
	Trusts     func(now time.Time) bool
}

func NewMatcher(parameters Parameters, area string, clock func() time.Time, current *atomic.Pointer[Fleet]) *Matcher {
	return &Matcher{
		parameters: parameters, area: area, clock: clock, current: current, fleet: &Fleet{},
		submitted: make(chan *Order, 256), withdrawn: make(chan *Order, 256), reports: make(chan Report, 1024),
		asked: make(chan chan partner.Pressure), forgets: make(chan func(*Ledger), 8), changed: make(chan struct{}, 1), copies: make(chan chan *Matcher),
		index: NewIndex(nil), banks: map[string]*bank{}, watched: map[string]*bank{}, paces: map[string]float64{}, ledger: NewLedger(parameters.LedgerBound, parameters.LedgerLife),
		arrivals: map[[2]string]int{}, running: map[[2]string]int{}, aims: map[[2]string]float64{}, reads: map[[2]string]float64{}, Nudge: make(chan struct{}, 1), health: newHealth(),
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
		m.adopt()
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
		case answer := <-m.copies:
			answer <- m.fork(m.clock(), m.ledger.fork())
		case <-m.changed:
			m.adopt()
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
		return max(m.visitAt.Sub(m.clock()), 0)
	}
	return time.Hour
}
