package loadbudget_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/loadbudget"
)

var errNeverStarted = errors.New("some loads were never begun")

// trouble kills, freezes or dethrones the holder, or changes the rate.
func (s *simulation) injectFault() {
	if s.chance(400) {
		s.rates = append(s.rates, rateChange{s.now, 0.5 + float64(s.random.IntN(6))})
	}
	if s.holder < 0 || !s.chance(30) {
		return
	}
	switch s.random.IntN(4) {
	case 0, 1:
		s.kill()
	case 2:
		s.frozenUntil = s.now.Add(s.randomDuration(2 * time.Second))
	case 3:
		s.vacate()
	}
}

// vacate ends the holder's grant. What it ordered and is still on its way arrives within transit.
func (s *simulation) vacate() {
	old := s.processes[s.holder]
	for index := range old.orders {
		if last := s.now.Add(transit); old.orders[index].startsAt.After(last) {
			old.orders[index].startsAt = last
		}
	}
	s.lastHolder, s.holder = s.holder, -1
	s.vacantUntil = s.now.Add(s.randomDuration(2 * time.Second))
}

// kill ends the holder's life. What is on its way begins or is lost as drawn.
func (s *simulation) kill() {
	old := s.processes[s.holder]
	s.resolveWrite(old)
	s.vacate()
	for _, one := range old.orders {
		s.recordStart(one)
	}
	s.processes[old.index] = &process{index: old.index}
}

func (s *simulation) recordStart(one order) {
	if one.rejected {
		s.unorderedLoads++
		return
	}
	s.startTimes = append(s.startTimes, one.startsAt)
}

// resolveWrite decides on a write that its holder never heard of.
func (s *simulation) resolveWrite(one *process) {
	if one.write != nil && one.write.takesEffect && one.write.fence == s.fence {
		s.reserved = &one.write.reservation
	}
	one.write = nil
}

// check counts the loads that began within any period.
func (s *simulation) check() error {
	slices.SortFunc(s.startTimes, time.Time.Compare)
	for first, from := range s.startTimes {
		rate := 0.0
		for index, one := range s.rates {
			last := index == len(s.rates)-1
			if one.at.Before(from.Add(period)) && (last || s.rates[index+1].at.After(from.Add(-transit))) {
				rate = max(rate, one.rate)
			}
		}
		within := 0
		for _, at := range s.startTimes[first:] {
			if at.Sub(from) < period {
				within++
			}
		}
		if most := loadbudget.NewBounds(rate, period, transit).Loads; within > most {
			return fmt.Errorf("%d loads began within %s, %d are allowed", within, period, most)
		}
	}
	return nil
}
