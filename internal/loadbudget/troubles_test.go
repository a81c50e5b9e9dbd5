package loadbudget_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/loadbudget"
)

var errNeverBegun = errors.New("some loads were never begun")

// trouble kills, freezes or dethrones the holder, or changes the rate.
func (s *simulation) trouble() {
	if s.chance(400) {
		s.rates = append(s.rates, rateFrom{s.now, 0.5 + float64(s.draw.IntN(6))})
	}
	if s.holder < 0 || !s.chance(30) {
		return
	}
	switch s.draw.IntN(4) {
	case 0, 1:
		s.kill()
	case 2:
		s.frozen = s.now.Add(s.within(2 * time.Second))
	case 3:
		s.vacate()
	}
}

// vacate ends the holder's grant. What it ordered and is still on its way arrives within transit.
func (s *simulation) vacate() {
	old := s.processes[s.holder]
	for index := range old.orders {
		if last := s.now.Add(transit); old.orders[index].beginsAt.After(last) {
			old.orders[index].beginsAt = last
		}
	}
	s.takenBy, s.holder = s.holder, -1
	s.vacant = s.now.Add(s.within(2 * time.Second))
}

// kill ends the holder's life. What is on its way begins or is lost as drawn.
func (s *simulation) kill() {
	old := s.processes[s.holder]
	s.settleWrite(old)
	s.vacate()
	for _, one := range old.orders {
		s.begin(one)
	}
	s.processes[old.number] = &process{number: old.number}
}

func (s *simulation) begin(one order) {
	if one.refused {
		s.wanted++
		return
	}
	s.began = append(s.began, one.beginsAt)
}

// settleWrite decides on a write that its holder never heard of.
func (s *simulation) settleWrite(one *process) {
	if one.write != nil && one.write.takesHold && one.write.fence == s.fence {
		s.reserved = &one.write.loads
	}
	one.write = nil
}

// check counts the loads that began within any period.
func (s *simulation) check() error {
	slices.SortFunc(s.began, time.Time.Compare)
	for first, from := range s.began {
		rate := 0.0
		for index, one := range s.rates {
			last := index == len(s.rates)-1
			if one.at.Before(from.Add(period)) && (last || s.rates[index+1].at.After(from.Add(-transit))) {
				rate = max(rate, one.rate)
			}
		}
		within := 0
		for _, at := range s.began[first:] {
			if at.Sub(from) < period {
				within++
			}
		}
		if most := loadbudget.BoundsOf(rate, period, transit).Loads; within > most {
			return fmt.Errorf("%d loads began within %s, %d are allowed", within, period, most)
		}
	}
	return nil
}
