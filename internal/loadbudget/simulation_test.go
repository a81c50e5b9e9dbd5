package loadbudget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/loadbudget"
)

const (
	period   = 5 * time.Second
	transit  = time.Second
	tick     = 50 * time.Millisecond
	machines = 3
	troubled = 40 * time.Second
	longest  = 400 * time.Second
)

// fault is one that is planted for the simulation to catch.
type fault int

const (
	noFault fault = iota
	reservationForgotten
	formerLifeNotCounted
	uncertainWriteSpent
	countedOnceAnswered
	unseenGrantContinued
	agesOverstated
)

// order is a load that was ordered: it begins at beginsAt, and its answer or report comes at toldAt.
type order struct {
	name     string
	toldAt   time.Time
	beginsAt time.Time
	refused  bool
}

// write is a reservation on its way to the record.
type write struct {
	fence     uint64
	loads     loadbudget.Reservation
	at        time.Time
	certain   bool
	takesHold bool
}

// process is one life of a daemon.
type process struct {
	budget loadbudget.Budget
	orders []order
	write  *write
	fence  uint64
	number int
	// takeover is the grant that the budget hasn't seen yet: it does once the holder may act.
	takeover *loadbudget.Takeover
	actsFrom time.Time
}

type simulation struct {
	draw      *rand.Rand
	fault     fault
	now       time.Time
	end       time.Time
	rates     []rateFrom
	processes [machines]*process
	holder    int
	reserved  *loadbudget.Reservation
	fence     uint64
	takenBy   int
	frozen    time.Time
	vacant    time.Time
	wanted    int
	began     []time.Time
}

type rateFrom struct {
	at   time.Time
	rate float64
}

func (s *simulation) chance(oneIn int) bool { return s.draw.IntN(oneIn) == 0 }

func (s *simulation) within(bound time.Duration) time.Duration {
	return time.Duration(s.draw.Int64N(int64(bound)))
}

func (s *simulation) bounds() loadbudget.Bounds {
	return loadbudget.BoundsOf(s.rates[len(s.rates)-1].rate, period, transit)
}

func (s *simulation) play() error {
	for index := range s.processes {
		s.processes[index] = &process{number: index}
	}
	began := s.now
	s.end = began.Add(troubled)
	s.holder = -1
	for s.now.Sub(began) < longest && (s.now.Before(s.end) || s.wanted > 0) {
		s.now = s.now.Add(tick)
		if s.now.Before(s.end) {
			s.trouble()
		}
		s.deliver()
		s.act()
	}
	if err := s.check(); err != nil {
		return err
	}
	if s.wanted > 0 {
		return errors.Wrapf(errNeverBegun, "%d at a rate of %f", s.wanted, s.rates[len(s.rates)-1].rate)
	}
	return nil
}

// deliver brings answers, reports and the outcomes of writes to the processes.
func (s *simulation) deliver() {
	for _, one := range s.processes {
		if one.number == s.holder && s.now.Before(s.frozen) {
			continue
		}
		one.orders = slices.DeleteFunc(one.orders, func(sent order) bool {
			if sent.toldAt.After(s.now) {
				return false
			}
			s.answer(one, sent)
			return true
		})
		if written := one.write; written != nil && !written.at.After(s.now) {
			s.settleWrite(one)
			certain := written.certain && written.fence == s.fence || s.fault == uncertainWriteSpent
			one.budget.Written(written.fence, written.loads, certain, s.now)
		}
	}
}

func (s *simulation) answer(one *process, sent order) {
	s.begin(sent)
	if s.fault == countedOnceAnswered {
		one.budget.Order(sent.name)
	}
	if sent.refused {
		one.budget.Refused(sent.name)
	} else {
		one.budget.Begun(sent.name, s.now)
	}
}

// act has somebody take a vacant lease, and the holder reserve and load.
func (s *simulation) act() {
	if s.holder < 0 {
		if s.now.Before(s.vacant) {
			return
		}
		s.take()
	}
	if s.now.Before(s.frozen) {
		return
	}
	one := s.processes[s.holder]
	if s.now.Before(one.actsFrom) {
		return
	}
	if one.takeover != nil {
		one.budget.TakeOver(*one.takeover, s.bounds())
		one.takeover = nil
	}
	s.propose(one)
	for s.wanted > 0 && one.budget.Free(s.now, s.bounds()) >= 1 && s.chance(2) {
		s.order(one)
		s.propose(one)
	}
}

func (s *simulation) take() {
	s.holder = s.draw.IntN(machines)
	if s.chance(2) && s.fence > 0 {
		s.holder = s.takenBy
	}
	one := s.processes[s.holder]
	for _, other := range s.processes {
		s.settleWrite(other)
	}
	takeover := loadbudget.Takeover{Fence: s.fence + 1, At: s.now, Reserved: s.reserved}
	if one.fence == s.fence {
		takeover.Continues = s.fence
	}
	switch {
	case s.fault == reservationForgotten:
		takeover.Reserved = new(loadbudget.Reservation)
	case s.fault == formerLifeNotCounted && one.number == s.takenBy && one.fence == 0:
		takeover.Reserved = new(loadbudget.Reservation)
	case s.fault == agesOverstated && s.reserved != nil:
		takeover.Reserved = older(*s.reserved)
	case s.fault == unseenGrantContinued && one.fence == s.fence:
		takeover.Continues = one.budget.Fence()
	}
	s.fence++
	one.fence, one.takeover, one.actsFrom = s.fence, &takeover, s.now
	if takeover.Continues == 0 && s.chance(2) {
		one.actsFrom = s.now.Add(s.within(3 * time.Second))
	}
}

// older is a reservation whose loads seem to have begun two seconds earlier than they did.
func older(reserved loadbudget.Reservation) *loadbudget.Reservation {
	changed := loadbudget.Reservation{Loads: reserved.Loads, Aged: slices.Clone(reserved.Aged)}
	for index := range changed.Aged {
		changed.Aged[index].AgeMs += 2000
	}
	return &changed
}

func (s *simulation) propose(one *process) {
	loads, due := one.budget.Propose(s.now, s.bounds())
	if !due {
		return
	}
	one.write = &write{fence: s.fence, loads: loads, at: s.now.Add(s.within(300 * time.Millisecond)), certain: !s.chance(4)}
	one.write.takesHold = one.write.certain || s.chance(2)
}

// order sends a load; one in four has no clear answer, and a report tells its fate much later.
func (s *simulation) order(one *process) {
	s.wanted--
	sent := order{name: fmt.Sprint("replica ", s.draw.IntN(1000000)), toldAt: s.now.Add(s.within(400 * time.Millisecond))}
	if s.chance(4) {
		sent.toldAt = s.now.Add(s.within(3 * time.Second))
	}
	sent.beginsAt = s.now.Add(s.within(sent.toldAt.Sub(s.now) + 1))
	sent.refused = s.chance(5)
	if s.fault != countedOnceAnswered {
		one.budget.Order(sent.name)
	}
	one.orders = append(one.orders, sent)
}
