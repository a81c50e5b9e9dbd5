package integration

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	restartAfter    = time.Second
	longestNoChange = 3 * time.Second
)

func TestRollout_ChangesContinueDuringRollingRestart(t *testing.T) {
	gaps := []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second, 3 * time.Second}
	for _, cores := range []int{3, 5} {
		for index := 0; index < len(gaps); index += casesFor(cores-2, 1) {
			gap := gaps[index]
			t.Run(fmt.Sprintf("%d daemons, %s between", cores, gap), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runRollout(t, cores, gap, nil) })
			})
		}
	}
}

func TestRollout_NothingLostWithSpareMember(t *testing.T) {
	for _, gap := range []time.Duration{600 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(fmt.Sprint(gap, " between"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRollout(t, 3, gap, []int{4}) })
		})
	}
}

func runRollout(t *testing.T, cores int, gap time.Duration, newcomers []int) {
	s := newLossScenario(t, cores)
	s.startNewcomers(newcomers)
	ended := make(chan time.Duration, cores)
	for number := 1; number <= cores; number++ {
		go func() {
			took := s.fleet.terminate(coreHost(number))
			time.Sleep(restartAfter)
			s.fleet.startCore(coreHost(number), false, 1, 2, 3)
			ended <- took
		}()
		time.Sleep(gap)
	}
	for range cores {
		if took := <-ended; took > shutdownTimeout {
			s.problems = append(s.problems, fmt.Sprintf("a process took %s to leave", took))
		}
	}
	time.Sleep(syncTime)
	s.finish(t)
	if s.writer.longestGap > longestNoChange {
		t.Errorf("no change was acknowledged for %s, from %s on", s.writer.longestGap, s.writer.longestGapStart.Format("05.000"))
	}
	t.Logf("longest without an acknowledged change: %s", s.writer.longestGap)
}

func TestRollout_LateNodesFindMembersWhenSeedsAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLossScenario(t, 5)
		s.fleet.kill(coreHost(1))
		s.fleet.kill(coreHost(2))
		s.removeHost(1)
		s.removeHost(2)
		s.fleet.startCore(coreHost(6), false, 1, 2, 3)
		s.fleet.startCore(coreHost(7), false, 2, 4, 1)
		s.hosts = append(s.hosts, coreHost(6), coreHost(7))
		time.Sleep(10 * time.Second)
		s.fleet.kill(coreHost(3))
		time.Sleep(restartAfter)
		s.fleet.startCore(coreHost(3), false, 1, 2, 6)
		s.fleet.network.partition(coreHost(4), coreHost(6), true)
		time.Sleep(syncTime)
		s.fleet.kill(coreHost(4))
		time.Sleep(restartAfter)
		s.fleet.startCore(coreHost(4), false, 1, 6, 2)
		time.Sleep(2 * time.Second)
		s.fleet.network.partition(coreHost(4), coreHost(6), false)
		s.fleet.startEdgeWith(edgeHost(1), 1, 2, 6)
		s.fleet.startEdgeWith(edgeHost(2), 4, 1, 2)
		s.finish(t)
		for edge := 1; edge <= 2; edge++ {
			ready := s.fleet.call("GET", edgeHost(edge)+":8167", "/ferryspar/readyz", "", nil)
			assert.Equal(t, ready.status, 200, "data plane %d", edge)
		}
	})
}

func TestRollout_FirstStartInAnyOrderFormsCluster(t *testing.T) {
	orders := [][]int{{1, 2, 3, 4, 5}, {5, 4, 3, 2, 1}, {4, 1, 5, 3, 2}, {3, 5, 1, 4, 2}}
	for _, order := range orders {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetOf(t, 0, 2, 0, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
				f.startEdge(edgeHost(1))
				for _, number := range order {
					time.Sleep(60 * time.Millisecond)
					f.startCore(coreHost(number), true, 1, 2, 3)
				}
				f.startEdge(edgeHost(2))
				o := newOperators(f, 1, order...)
				first := operatorChange{
					name:     "first",
					route:    "quick",
					method:   "PUT",
					path:     "/ferryspar/config",
					body:     document(1, ""),
					revision: 1,
				}
				assert.Equal(t, o.send(first, 10*time.Second), acknowledged)
				assert.Assert(t, o.waitMembers(coreHost(order[0]), 5, 20*time.Second), o.describe(o.hosts...))
				assert.Equal(t, o.send(addRoute(1, 2, "added"), 4*time.Second), acknowledged)
				time.Sleep(2 * time.Second)
				problems := o.violationsAt(o.hosts...)
				assert.Equal(t, len(problems), 0, summarizeProblems(problems))
				for edge := 1; edge <= 2; edge++ {
					assert.Equal(t, f.request(edge, "attempt", "/added/", "swift").status, 200, "data plane %d", edge)
				}
			})
		})
	}
}
