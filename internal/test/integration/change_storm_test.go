package integration

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	stormChanges         = 400
	missedChanges        = 40
	stormInterval        = 20 * time.Millisecond
	changesPerZoneToggle = 8
)

// changeStorm sends hundreds of changes: routes are added and removed, zones evacuated and returned to service.
type changeStorm struct {
	lossScenario
	changeCount   int
	version       int
	drained       map[string]bool
	isolatedEdges int
}

// returningMember is one way in which a member leaves and it, or a successor, joins again.
// rejoin returns the number of the member that joined.
type returningMember struct {
	name   string
	member int
	leave  func(s *changeStorm)
	rejoin func(s *changeStorm) int
}

var returningMembers = []returningMember{
	{
		name:   "killed with its disk kept",
		member: 1,
		leave:  func(s *changeStorm) { s.fleet.kill(coreHost(1)) },
		rejoin: func(s *changeStorm) int {
			s.fleet.startCore(coreHost(1), false, 1, 2, 3)
			return 1
		},
	},
	{
		name:   "wiped",
		member: 2,
		leave: func(s *changeStorm) {
			s.fleet.kill(coreHost(2))
			s.fleet.wipe(coreHost(2))
		},
		rejoin: func(s *changeStorm) int {
			s.fleet.startCore(coreHost(2), false, 1, 2, 3)
			return 2
		},
	},
	{
		name:   "replaced",
		member: 3,
		leave: func(s *changeStorm) {
			s.fleet.kill(coreHost(3))
			s.removeHost(3)
		},
		rejoin: func(s *changeStorm) int {
			s.startNewcomers([]int{4})
			return 4
		},
	},
	{
		name:   "partitioned from the others",
		member: 1,
		leave:  func(s *changeStorm) { s.isolate(1, true) },
		rejoin: func(s *changeStorm) int {
			s.isolate(1, false)
			return 1
		},
	},
	{
		name:   "frozen",
		member: 2,
		leave:  func(s *changeStorm) { s.fleet.network.freeze(coreHost(2), true) },
		rejoin: func(s *changeStorm) int {
			s.fleet.network.freeze(coreHost(2), false)
			return 2
		},
	},
	{
		name:   "killed with its disk kept, once more",
		member: 4,
		leave:  func(s *changeStorm) { s.fleet.kill(coreHost(4)) },
		rejoin: func(s *changeStorm) int {
			s.fleet.startCore(coreHost(4), false, 1, 2, 4)
			return 4
		},
	},
}

func (s *changeStorm) recordProblem(format string, details ...any) {
	s.problems = append(s.problems, fmt.Sprintf(format, details...))
}

func (s *changeStorm) isolate(member int, isolated bool) {
	for _, host := range s.hosts {
		if host != coreHost(member) {
			s.fleet.network.delayBoth(coreHost(member), host, isolated)
		}
	}
}

func TestMember_UpToDateInTimeUnderHundredsOfChanges(t *testing.T) {
	for seed := uint64(1); seed <= uint64(casesFor(1, 4)); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChangeStorm(t, seed) })
		})
	}
}

func runChangeStorm(t *testing.T, seed uint64) {
	s := &changeStorm{version: 1, drained: map[string]bool{}}
	s.fleet = startFleetOf(t, 3, 1, 0)
	time.Sleep(3 * time.Second)
	assert.Equal(t, s.fleet.putConfiguration(1, 0, document(1, "")).status, http.StatusOK)
	s.operators = newOperators(s.fleet, seed, 1, 2, 3, 4)
	s.operators.answerLossRate = 0.05
	s.hosts = []string{coreHost(1), coreHost(2), coreHost(3)}
	s.sendChanges(stormChanges/len(returningMembers) - missedChanges + int(6*s.operators.randomFloat()))
	for _, returning := range returningMembers {
		returning.leave(s)
		s.sendChanges(missedChanges)
		began := time.Now()
		member := returning.rejoin(s)
		s.checkReturned(returning.name, member, began)
		s.sendChanges(stormChanges/len(returningMembers) - missedChanges + int(6*s.operators.randomFloat()))
		time.Sleep(syncTime)
	}
	s.problems = append(s.problems, s.operators.violationsAt(s.hosts...)...)
	assert.Assert(t, s.changeCount > stormChanges, "%d changes", s.changeCount)
	assert.Equal(t, len(s.problems), 0, "%s%s", summarizeProblems(s.problems), s.operators.describe(s.hosts...))
}

// sendChanges sends a number of route changes, with a change of a zone every changesPerZoneToggle.
func (s *changeStorm) sendChanges(amount int) {
	for range amount {
		s.changeCount++
		change := replaceRoute(s.version, s.version+1, fmt.Sprint("storm-", s.changeCount), fmt.Sprint("storm-", s.changeCount-30))
		if s.changeCount <= 30 {
			change = addRoute(s.version, s.version+1, fmt.Sprint("storm-", s.changeCount))
		}
		if s.operators.send(change, 8*time.Second) != acknowledged {
			s.problems = append(s.problems, "not acknowledged: "+change.name)
		}
		s.version = max(s.version+1, s.operators.newestAcknowledged())
		if s.changeCount%changesPerZoneToggle == 0 {
			s.toggleZone()
		}
		time.Sleep(stormInterval)
	}
}

func (s *changeStorm) toggleZone() {
	zone := []string{"east", "south", "abroad"}[s.changeCount/changesPerZoneToggle%3]
	s.drained[zone] = !s.drained[zone]
	for attempt := range 3 {
		if s.operators.sendZoneChange(zone, s.drained[zone], fmt.Sprintf("%d-%d", s.changeCount, attempt)) == acknowledged {
			return
		}
	}
	s.recordProblem("evacuation %d of %s is not acknowledged", s.changeCount, zone)
}

// checkReturned starts a data plane that reaches only the returned member, and expects it to serve the newest
// configuration within syncTimeS although no further change arrives.
func (s *changeStorm) checkReturned(name string, member int, began time.Time) {
	edge := 3 + s.isolatedEdges
	s.isolatedEdges++
	for number := 1; number <= 4; number++ {
		if number != member {
			s.fleet.network.partition(edgeHost(edge), coreHost(number), true)
		}
	}
	s.fleet.startEdgeWith(edgeHost(edge), member)
	added, removed := fmt.Sprintf("/storm-%d/", s.changeCount), fmt.Sprintf("/storm-%d/", s.changeCount-30)
	served := false
	for time.Since(began) < syncTime {
		served = s.probeIsolatedEdge(name, edge, added, removed, began)
		time.Sleep(probeInterval)
	}
	if !served {
		s.recordProblem("%s: a data plane that reaches only %s serves nothing within syncTimeS", name, coreHost(member))
	}
	s.fleet.kill(edgeHost(edge))
	status := s.operators.status(coreHost(member))
	if !status.Fresh || int(status.Revision) != s.version {
		s.recordProblem(
			"%s: after syncTimeS %s has revision %d of %d, fresh %t",
			name,
			coreHost(member),
			status.Revision,
			s.version,
			status.Fresh,
		)
	}
	for zone, drained := range s.drained {
		if slices.Contains(status.DrainedZones, zone) != drained {
			s.recordProblem("%s: after syncTimeS %s says drained=%t of %s, fresh %t", name, coreHost(member), !drained, zone, status.Fresh)
		}
	}
}

// probeIsolatedEdge reports whether the data plane is ready with the newest routes. There are no replicas: a known
// route gets 503.
func (s *changeStorm) probeIsolatedEdge(name string, edge int, added, removed string, began time.Time) bool {
	moment := time.Since(began).Round(time.Millisecond)
	ready := s.fleet.call(http.MethodGet, edgeHost(edge)+":8167", "/ferryspar/readyz", "", nil).status == http.StatusOK
	addedReply := s.fleet.requestWithin(probeInterval, edge, fmt.Sprintf("added-%d-%s", edge, moment), added, "swift")
	removedReply := s.fleet.requestWithin(probeInterval, edge, fmt.Sprintf("removed-%d-%s", edge, moment), removed, "swift")
	if addedReply.status == http.StatusNotFound {
		s.recordProblem("%s: a data plane that reaches only it rejects the newest route %s after the return", name, moment)
	}
	if ready && removedReply.status != http.StatusNotFound {
		s.recordProblem("%s: a data plane that reaches only it knows a removed route %s after the return", name, moment)
	}
	return ready && addedReply.status != http.StatusNotFound && removedReply.status == http.StatusNotFound
}
