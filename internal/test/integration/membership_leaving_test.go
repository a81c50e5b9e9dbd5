package integration

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestMembership_LeavingMemberVotesUntilItsDataIsCopied has a leaving member and one other that hold the only copies of changes
// which the third missed during a partition. The successor is started syncTimeS before the SIGTERM, and the other member loses
// its disk once the process has ended.
func TestMembership_LeavingMemberVotesUntilItsDataIsCopied(t *testing.T) {
	for moment := time.Duration(0); moment <= 4*time.Second; moment += time.Duration(casesFor(5, 1)) * sweepStep {
		t.Run(fmt.Sprint("wiped ", moment, " after the end of the process"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLossScenario(t, 3)
				s.isolateDuringChange(3)
				time.Sleep(syncTime)
				s.startNewcomers([]int{4})
				time.Sleep(syncTime)
				s.removeHost(1)
				s.fleet.terminate(coreHost(1))
				time.Sleep(moment)
				secondLosses[1].apply(s, []int{2})
				time.Sleep(syncTime)
				s.finish(t)
			})
		})
	}
}

// TestMembership_LaggingMemberRepairedBeforeOthersAreWiped has two members that hold the only copies of what the third missed;
// each of the two is wiped in turn, syncTimeS apart.
func TestMembership_LaggingMemberRepairedBeforeOthersAreWiped(t *testing.T) {
	for _, rest := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint(rest, " more than syncTimeS between"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLossScenario(t, 3)
				s.isolateDuringChange(3)
				for _, member := range []int{1, 2} {
					time.Sleep(syncTime + rest)
					secondLosses[1].apply(s, []int{member})
				}
				time.Sleep(syncTime)
				s.finish(t)
			})
		})
	}
}
