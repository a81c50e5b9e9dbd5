package loadbudget_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

var errNeverStarted = errors.New("some loads were never started")

const (
	maxSuspendTime = 2 * time.Second
	maxVacantTime  = 2 * time.Second
)

// injectFault may kill or suspend the holder, take the lease from it, or change the rate.
func (s *simulation) injectFault() {
	if s.oneIn(400) {
		s.rates = append(s.rates, rateChange{s.now, 0.5 + float64(s.random.IntN(6))})
	}
	if s.holderIndex == noHolder || !s.oneIn(30) {
		return
	}
	switch s.random.IntN(4) {
	case 0, 1:
		s.kill()
	case 2:
		s.suspendedUntil = s.now.Add(s.randomDuration(maxSuspendTime))
	case 3:
		s.vacate()
	}
}

// vacate ends the holder's grant. Its loads in flight start within maxStartDelay.
func (s *simulation) vacate() {
	old := s.processes[s.holderIndex]
	for index := range old.orders {
		if last := s.now.Add(maxStartDelay); old.orders[index].startsAt.After(last) {
			old.orders[index].startsAt = last
		}
	}
	s.lastHolderIndex, s.holderIndex = s.holderIndex, noHolder
	s.leaseVacantUntil = s.now.Add(s.randomDuration(maxVacantTime))
}

// kill ends the holder's process and replaces it by a new incarnation. Its loads in flight start or are lost as drawn.
func (s *simulation) kill() {
	old := s.processes[s.holderIndex]
	s.resolveWrite(old)
	s.vacate()
	for _, sent := range old.orders {
		s.recordStart(sent)
	}
	s.processes[old.index] = &process{index: old.index}
}

func (s *simulation) recordStart(sent order) {
	if sent.rejected {
		s.unorderedLoads++
		return
	}
	if !sent.fromDisk {
		s.startTimes = append(s.startTimes, sent.startsAt)
	}
}

// resolveWrite applies the outcome of a process's write in flight, which may never be answered.
func (s *simulation) resolveWrite(process *process) {
	if process.write != nil && process.write.takesEffect && process.write.fence == s.fence {
		s.reserved = &process.write.reservation
	}
	process.write = nil
}

// check returns an error if more loads than allowed started within any period.
func (s *simulation) check() error {
	slices.SortFunc(s.startTimes, time.Time.Compare)
	for first, from := range s.startTimes {
		within := 0
		for _, at := range s.startTimes[first:] {
			if at.Sub(from) < period {
				within++
			}
		}
		if limit := boundsOf(s.highestRate(from)).Loads; within > limit {
			return fmt.Errorf("%d loads started within %s, %d are allowed", within, period, limit)
		}
	}
	return nil
}

// highestRate returns the highest rate in force during the period that starts at from, or when loads that start in that
// period may have been ordered.
func (s *simulation) highestRate(from time.Time) float64 {
	highest := 0.0
	for index, change := range s.rates {
		isLast := index == len(s.rates)-1
		if change.at.Before(from.Add(period)) && (isLast || s.rates[index+1].at.After(from.Add(-maxStartDelay))) {
			highest = max(highest, change.rate)
		}
	}
	return highest
}
