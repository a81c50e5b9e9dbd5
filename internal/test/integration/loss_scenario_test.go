package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lossScenario is a test run in which members are lost twice while a writer keeps changing the configuration.
type lossScenario struct {
	fleet     *fleet
	operators *operators
	writer    *writer
	hosts     []string
	problems  []string
}

// firstLoss removes members; apply returns the moment at which the last of their successors was started.
type firstLoss struct {
	name  string
	apply func(s *lossScenario, members, newcomers []int) time.Time
}

var firstLosses = []firstLoss{
	{"killed for good", func(s *lossScenario, members, newcomers []int) time.Time {
		for _, member := range members {
			s.fleet.kill(coreHost(member))
			s.removeHost(member)
		}
		time.Sleep(newcomerDelay)
		s.startNewcomers(newcomers)
		return time.Now()
	}},
	{"wiped", func(s *lossScenario, members, _ []int) time.Time {
		for _, member := range members {
			s.fleet.kill(coreHost(member))
			s.fleet.wipe(coreHost(member))
		}
		time.Sleep(wipedRestartDelay)
		for _, member := range members {
			s.fleet.startCore(coreHost(member), false, 1, 2, 3)
		}
		return time.Now()
	}},
	{"leaving", func(s *lossScenario, members, newcomers []int) time.Time {
		s.startNewcomers(newcomers)
		started := time.Now()
		time.Sleep(1500 * time.Millisecond)
		for _, member := range members {
			s.removeHost(member)
			go s.fleet.terminate(coreHost(member))
		}
		return started
	}},
}

func (s *lossScenario) startNewcomers(newcomers []int) {
	for _, newcomer := range newcomers {
		s.fleet.startCore(coreHost(newcomer), false, 2, 3, newcomer)
		s.hosts = append(s.hosts, coreHost(newcomer))
	}
}

func (s *lossScenario) removeHost(member int) {
	remaining := []string{}
	for _, host := range s.hosts {
		if host != coreHost(member) {
			remaining = append(remaining, host)
		}
	}
	s.hosts = remaining
}

// secondLoss removes other members, no earlier than notBefore after the first loss.
type secondLoss struct {
	name      string
	notBefore time.Duration
	apply     func(s *lossScenario, members []int)
}

var secondLosses = []secondLoss{
	{"killed with its disk kept", 0, func(s *lossScenario, members []int) {
		for _, member := range members {
			s.fleet.kill(coreHost(member))
		}
		time.Sleep(killedRestartDelay)
		for _, member := range members {
			s.fleet.startCore(coreHost(member), false, 1, 2, 3)
		}
	}},
	{"wiped after syncTimeS", syncTime, func(s *lossScenario, members []int) {
		for _, member := range members {
			s.fleet.kill(coreHost(member))
			s.fleet.wipe(coreHost(member))
		}
		time.Sleep(wipedRestartDelay)
		for _, member := range members {
			s.fleet.startCore(coreHost(member), false, 1, 2, 3)
		}
	}},
}

func newLossScenario(t *testing.T, cores int) *lossScenario {
	s := &lossScenario{fleet: startFleetOf(t, cores, (cores-1)/2, 0)}
	numbers := make([]int, 0, cores+2)
	for number := 1; number <= cores; number++ {
		numbers = append(numbers, number)
		s.hosts = append(s.hosts, coreHost(number))
	}
	for newcomer := 1; newcomer <= cores/2; newcomer++ {
		numbers = append(numbers, cores+newcomer)
	}
	s.operators = newOperators(s.fleet, 1, numbers...)
	time.Sleep(3 * time.Second)
	assert.Assert(t, s.operators.waitMembers(coreHost(1), cores, 30*time.Second), "the members do not form a cluster")
	assert.Equal(t, s.fleet.putConfiguration(1, 0, document(1, "")).status, 200)
	assert.Equal(t, s.operators.sendZoneChange("south", true, "at the start"), acknowledged)
	s.writer = s.operators.startWriter(1)
	time.Sleep(2 * time.Second)
	return s
}

// finish checks that changes work again within recoveryTimeout, and that nothing acknowledged was lost.
func (s *lossScenario) finish(t *testing.T) {
	again := s.writer.waitAcknowledged(recoveryTimeout)
	if !again {
		s.problems = append(s.problems, "no change is acknowledged 10 s after the last return")
		again = s.writer.waitAcknowledged(recoveryTimeout)
		s.problems = append(s.problems, fmt.Sprintf("20 s after it: changes possible %t", again))
	}
	time.Sleep(syncTime)
	s.problems = append(s.problems, s.writer.close()...)
	s.problems = append(s.problems, s.operators.violationsAt(s.hosts...)...)
	s.problems = append(s.problems, s.staleMembers()...)
	assert.Equal(t, len(s.problems), 0, "%s%s", summarizeProblems(s.problems), s.operators.describe(s.hosts...))
}

// staleMembers lists members that are gone and should have been replaced in the membership.
func (s *lossScenario) staleMembers() []string {
	var problems []string
	for _, member := range s.operators.status(s.hosts[0]).Members {
		if !slices.Contains(s.hosts, hostOf(member)) {
			problems = append(problems, member+" is gone and still a member")
		}
	}
	return problems
}

// isolateDuringChange isolates a member for some seconds; meanwhile a zone is evacuated, which no later change touches.
func (s *lossScenario) isolateDuringChange(member int) {
	isolate := func(isolated bool) {
		for _, host := range s.hosts {
			if host != coreHost(member) {
				s.fleet.network.delayBoth(coreHost(member), host, isolated)
			}
		}
	}
	isolate(true)
	time.Sleep(time.Second)
	if s.operators.send(evacuationChange("east", true, "missed"), 2*zoneResendBound) != acknowledged {
		s.problems = append(s.problems, "an evacuation is not acknowledged by the other two")
	}
	time.Sleep(6 * time.Second)
	isolate(false)
}
