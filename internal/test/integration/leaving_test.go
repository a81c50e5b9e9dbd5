package integration

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// A third member missed changes behind a cut. The leaving member and one other hold the only copies of them. The
// successor was started syncTimeS before the SIGTERM, and the other loses its disk once the process has ended.
func TestMembership_LeavingMemberVotesUntilItsDataIsCopied(t *testing.T) {
	for moment := time.Duration(0); moment <= 4*time.Second; moment += time.Duration(casesFor(5, 1)) * sweepStep {
		t.Run(fmt.Sprint("wiped ", moment, " after the end of the process"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLossScenario(t, 3)
				s.missChanges(3)
				time.Sleep(syncTime)
				s.join([]int{4})
				time.Sleep(syncTime)
				s.drop(1)
				s.f.terminate(coreHost(1))
				time.Sleep(moment)
				secondLosses[1].play(s, []int{2})
				time.Sleep(syncTime)
				s.finish(t)
			})
		})
	}
}

// Two members hold the only copies of what a third missed; each of the two is wiped in turn, syncTimeS apart.
func TestMembership_LaggingMemberRepairedBeforeOthersAreWiped(t *testing.T) {
	for _, rest := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint(rest, " more than syncTimeS between"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLossScenario(t, 3)
				s.missChanges(3)
				for _, member := range []int{1, 2} {
					time.Sleep(syncTime + rest)
					secondLosses[1].play(s, []int{member})
				}
				time.Sleep(syncTime)
				s.finish(t)
			})
		})
	}
}

// missChanges cuts a member off for some seconds; meanwhile a zone is evacuated that nobody touches again.
func (s *lossScenario) missChanges(member int) {
	isolate := func(cut bool) {
		for _, host := range s.hosts {
			if host != coreHost(member) {
				s.f.network.delayBoth(coreHost(member), host, cut)
			}
		}
	}
	isolate(true)
	time.Sleep(time.Second)
	if s.o.send(evacuate("east", true, "missed"), 2*zoneResendBound) != acknowledged {
		s.problems = append(s.problems, "an evacuation is not acknowledged by the other two")
	}
	time.Sleep(6 * time.Second)
	isolate(false)
}
