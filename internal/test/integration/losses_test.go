package integration

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	syncTime      = 4 * time.Second
	sweepEnd      = 8 * time.Second
	sweepStep     = 400 * time.Millisecond
	sweepStride   = 10
	changesAgain  = 10 * time.Second
	backAfter     = time.Second
	secondBack    = 3 * time.Second
	newcomerAfter = 500 * time.Millisecond
)

// lossScenario is one run with two losses; losses and returns are its steps.
type lossScenario struct {
	f        *fleet
	o        *operators
	w        *writer
	hosts    []string
	problems []string
}

// firstLoss takes members away and gives the moment at which the last of their successors was started.
type firstLoss struct {
	name string
	play func(s *lossScenario, members, newcomers []int) time.Time
}

var firstLosses = []firstLoss{
	{"killed for good", func(s *lossScenario, members, newcomers []int) time.Time {
		for _, member := range members {
			s.f.kill(coreHost(member))
			s.drop(member)
		}
		time.Sleep(newcomerAfter)
		s.join(newcomers)
		return time.Now()
	}},
	{"wiped", func(s *lossScenario, members, _ []int) time.Time {
		for _, member := range members {
			s.f.kill(coreHost(member))
			s.f.wipe(coreHost(member))
		}
		time.Sleep(backAfter)
		for _, member := range members {
			s.f.startCore(coreHost(member), false, 1, 2, 3)
		}
		return time.Now()
	}},
	{"leaving", func(s *lossScenario, members, newcomers []int) time.Time {
		s.join(newcomers)
		started := time.Now()
		time.Sleep(1500 * time.Millisecond)
		for _, member := range members {
			s.drop(member)
			go s.f.terminate(coreHost(member))
		}
		return started
	}},
}

func (s *lossScenario) join(newcomers []int) {
	for _, newcomer := range newcomers {
		s.f.startCore(coreHost(newcomer), false, 2, 3, newcomer)
		s.hosts = append(s.hosts, coreHost(newcomer))
	}
}

func (s *lossScenario) drop(member int) {
	kept := []string{}
	for _, host := range s.hosts {
		if host != coreHost(member) {
			kept = append(kept, host)
		}
	}
	s.hosts = kept
}

// secondLoss takes other members away; it is one of the losses that the page allows at that moment.
type secondLoss struct {
	name string
	from time.Duration
	play func(s *lossScenario, members []int)
}

var secondLosses = []secondLoss{
	{"killed with its disk kept", 0, func(s *lossScenario, members []int) {
		for _, member := range members {
			s.f.kill(coreHost(member))
		}
		time.Sleep(secondBack)
		for _, member := range members {
			s.f.startCore(coreHost(member), false, 1, 2, 3)
		}
	}},
	{"wiped after syncTimeS", syncTime, func(s *lossScenario, members []int) {
		for _, member := range members {
			s.f.kill(coreHost(member))
			s.f.wipe(coreHost(member))
		}
		time.Sleep(backAfter)
		for _, member := range members {
			s.f.startCore(coreHost(member), false, 1, 2, 3)
		}
	}},
}

func newLossScenario(t *testing.T, cores int) *lossScenario {
	s := &lossScenario{f: startFleetOf(t, cores, (cores-1)/2, 0)}
	numbers := make([]int, 0, cores+2)
	for number := 1; number <= cores; number++ {
		numbers = append(numbers, number)
		s.hosts = append(s.hosts, coreHost(number))
	}
	for newcomer := 1; newcomer <= cores/2; newcomer++ {
		numbers = append(numbers, cores+newcomer)
	}
	s.o = newOperators(s.f, 1, numbers...)
	time.Sleep(3 * time.Second)
	assert.Assert(t, s.o.waitMembers(coreHost(1), cores, 30*time.Second), "members never come together")
	assert.Equal(t, s.f.put(1, 0, 1, document(1, "")).status, 200)
	assert.Equal(t, s.o.sendZone("south", true, "at the start"), acknowledged)
	s.w = s.o.startWriter(1)
	time.Sleep(2 * time.Second)
	return s
}

// casesFor is the first bound in an ordinary run and the second where FERRYSPAR_SWEEP asks for whole sweeps.
func casesFor(ordinary, whole int) int {
	if os.Getenv("FERRYSPAR_SWEEP") != "" {
		return whole
	}
	return ordinary
}

func moments(offset int) []time.Duration {
	stride := casesFor(sweepStride, 1)
	if stride == 1 {
		offset = 0
	}
	found := []time.Duration{}
	for moment := time.Duration(offset) * sweepStep; moment <= sweepEnd; moment += time.Duration(stride) * sweepStep {
		found = append(found, moment)
	}
	return found
}

func TestMembership_SecondLossDuringReplacementLosesNothing(t *testing.T) {
	for index, first := range firstLosses {
		for _, second := range secondLosses {
			for _, moment := range moments(3 * index) {
				t.Run(fmt.Sprintf("%s, another %s, %s", first.name, second.name, moment), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runLosses(t, 3, first, second, moment, []int{1}, []int{4}, []int{2}) })
				})
			}
		}
	}
}

func TestMembership_TwoOfFiveLostThenTwoMoreLosesNothing(t *testing.T) {
	for index, first := range firstLosses {
		for _, second := range secondLosses {
			all := moments(3 * index)
			for position := 0; position < len(all); position += casesFor(2, 1) {
				t.Run(fmt.Sprintf("%s, others %s, %s", first.name, second.name, all[position]), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						runLosses(t, 5, first, second, all[position], []int{1, 2}, []int{6, 7}, []int{3, 4})
					})
				})
			}
		}
	}
}

func runLosses(t *testing.T, cores int, first firstLoss, second secondLoss, moment time.Duration, lost, newcomers, lostNext []int) {
	s := newLossScenario(t, cores)
	began := time.Now()
	if second.from == 0 {
		began = began.Add(moment)
		go first.play(s, lost, newcomers)
	} else {
		began = first.play(s, lost, newcomers).Add(second.from + moment)
	}
	time.Sleep(time.Until(began))
	second.play(s, lostNext)
	s.finish(t)
}

func (s *lossScenario) finish(t *testing.T) {
	again := s.w.waitAcknowledged(changesAgain)
	if !again {
		s.problems = append(s.problems, "no change is possible 10 s after the last return")
		again = s.w.waitAcknowledged(changesAgain)
		s.problems = append(s.problems, fmt.Sprintf("20 s after it: changes possible %t", again))
	}
	time.Sleep(syncTime)
	s.problems = append(s.problems, s.w.end()...)
	s.problems = append(s.problems, s.o.violationsAt(s.hosts...)...)
	s.problems = append(s.problems, s.absentMembers()...)
	assert.Equal(t, len(s.problems), 0, "%s%s", listed(s.problems), s.o.describe(s.hosts...))
}

// absentMembers names members that are no longer there although a successor is.
func (s *lossScenario) absentMembers() []string {
	var problems []string
	for _, member := range s.o.status(s.hosts[0]).Members {
		if !slices.Contains(s.hosts, hostOf(member)) {
			problems = append(problems, member+" is gone and still a member")
		}
	}
	return problems
}
