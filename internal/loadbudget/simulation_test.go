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
	period       = 5 * time.Second
	transit      = time.Second
	tick         = 50 * time.Millisecond
	processCount = 3
	faultPhase   = 40 * time.Second
	maxDuration  = 400 * time.Second
)

// plantedFault is one that is planted for the simulation to catch.
type plantedFault int

const (
	noFault plantedFault = iota
	reservationForgotten
	priorIncarnationNotCounted
	uncertainWriteTrusted
	countedWhenAnswered
	unseenGrantContinued
	agesOverstated
)

// order is a load that was ordered: it begins at startsAt, and its answer or report comes at answeredAt.
type order struct {
	name       string
	answeredAt time.Time
	startsAt   time.Time
	rejected   bool
}

// reservationWrite is a reservation on its way to the record.
type reservationWrite struct {
	fence       uint64
	reservation loadbudget.Reservation
	completesAt time.Time
	certain     bool
	takesEffect bool
}

// process is one life of a daemon.
type process struct {
	budget loadbudget.Budget
	orders []order
	write  *reservationWrite
	fence  uint64
	index  int
	// takeover is the grant that the budget hasn't seen yet: it does once the holder may act.
	takeover      *loadbudget.Takeover
	effectiveFrom time.Time
}

type simulation struct {
	random         *rand.Rand
	fault          plantedFault
	now            time.Time
	faultsEnd      time.Time
	rates          []rateChange
	processes      [processCount]*process
	holder         int
	reserved       *loadbudget.Reservation
	fence          uint64
	lastHolder     int
	frozenUntil    time.Time
	vacantUntil    time.Time
	unorderedLoads int
	startTimes     []time.Time
}

type rateChange struct {
	at   time.Time
	rate float64
}

func (s *simulation) chance(oneIn int) bool { return s.random.IntN(oneIn) == 0 }

func (s *simulation) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(bound)))
}

func (s *simulation) bounds() loadbudget.Bounds {
	return loadbudget.NewBounds(s.rates[len(s.rates)-1].rate, period, transit)
}

func (s *simulation) run() error {
	for index := range s.processes {
		s.processes[index] = &process{index: index}
	}
	began := s.now
	s.faultsEnd = began.Add(faultPhase)
	s.holder = -1
	for s.now.Sub(began) < maxDuration && (s.now.Before(s.faultsEnd) || s.unorderedLoads > 0) {
		s.now = s.now.Add(tick)
		if s.now.Before(s.faultsEnd) {
			s.injectFault()
		}
		s.deliver()
		s.step()
	}
	if err := s.check(); err != nil {
		return err
	}
	if s.unorderedLoads > 0 {
		return errors.Wrapf(errNeverStarted, "%d at a rate of %f", s.unorderedLoads, s.rates[len(s.rates)-1].rate)
	}
	return nil
}

// deliver brings answers, reports and the outcomes of writes to the processes.
func (s *simulation) deliver() {
	for _, process := range s.processes {
		if process.index == s.holder && s.now.Before(s.frozenUntil) {
			continue
		}
		process.orders = slices.DeleteFunc(process.orders, func(sent order) bool {
			if sent.answeredAt.After(s.now) {
				return false
			}
			s.handleAnswer(process, sent)
			return true
		})
		if written := process.write; written != nil && !written.completesAt.After(s.now) {
			s.resolveWrite(process)
			certain := written.certain && written.fence == s.fence || s.fault == uncertainWriteTrusted
			process.budget.CompleteWrite(written.fence, written.reservation, certain, s.now)
		}
	}
}

func (s *simulation) handleAnswer(one *process, sent order) {
	s.recordStart(sent)
	if s.fault == countedWhenAnswered {
		one.budget.MarkOrdered(sent.name)
	}
	if sent.rejected {
		one.budget.MarkRejected(sent.name)
	} else {
		one.budget.MarkStarted(sent.name, s.now)
	}
}

// act has somebody take a vacant lease, and the holder reserve and load.
func (s *simulation) step() {
	if s.holder < 0 {
		if s.now.Before(s.vacantUntil) {
			return
		}
		s.takeLease()
	}
	if s.now.Before(s.frozenUntil) {
		return
	}
	process := s.processes[s.holder]
	if s.now.Before(process.effectiveFrom) {
		return
	}
	if process.takeover != nil {
		process.budget.TakeOver(*process.takeover, s.bounds())
		process.takeover = nil
	}
	s.propose(process)
	for s.unorderedLoads > 0 && process.budget.Available(s.now, s.bounds()) >= 1 && s.chance(2) {
		s.order(process)
		s.propose(process)
	}
}

func (s *simulation) takeLease() {
	s.holder = s.random.IntN(processCount)
	if s.chance(2) && s.fence > 0 {
		s.holder = s.lastHolder
	}
	process := s.processes[s.holder]
	for _, other := range s.processes {
		s.resolveWrite(other)
	}
	takeover := loadbudget.Takeover{Fence: s.fence + 1, PredecessorStoppedAt: s.now, Reserved: s.reserved}
	if process.fence == s.fence {
		takeover.ContinuesFence = s.fence
	}
	switch {
	case s.fault == reservationForgotten:
		takeover.Reserved = new(loadbudget.Reservation)
	case s.fault == priorIncarnationNotCounted && process.index == s.lastHolder && process.fence == 0:
		takeover.Reserved = new(loadbudget.Reservation)
	case s.fault == agesOverstated && s.reserved != nil:
		takeover.Reserved = withOlderAges(*s.reserved)
	case s.fault == unseenGrantContinued && process.fence == s.fence:
		takeover.ContinuesFence = process.budget.Fence()
	}
	s.fence++
	process.fence, process.takeover, process.effectiveFrom = s.fence, &takeover, s.now
	if takeover.ContinuesFence == 0 && s.chance(2) {
		process.effectiveFrom = s.now.Add(s.randomDuration(3 * time.Second))
	}
}

// withOlderAges is a reservation whose loads seem to have begun two seconds earlier than they did.
func withOlderAges(reserved loadbudget.Reservation) *loadbudget.Reservation {
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
	one.write = &reservationWrite{fence: s.fence, reservation: loads, completesAt: s.now.Add(s.randomDuration(300 * time.Millisecond)), certain: !s.chance(4)}
	one.write.takesEffect = one.write.certain || s.chance(2)
}

// order sends a load; one in four has no clear answer, and a report tells its fate much later.
func (s *simulation) order(one *process) {
	s.unorderedLoads--
	sent := order{name: fmt.Sprint("replica ", s.random.IntN(1000000)), answeredAt: s.now.Add(s.randomDuration(400 * time.Millisecond))}
	if s.chance(4) {
		sent.answeredAt = s.now.Add(s.randomDuration(3 * time.Second))
	}
	sent.startsAt = s.now.Add(s.randomDuration(sent.answeredAt.Sub(s.now) + 1))
	sent.rejected = s.chance(5)
	if s.fault != countedWhenAnswered {
		one.budget.MarkOrdered(sent.name)
	}
	one.orders = append(one.orders, sent)
}
