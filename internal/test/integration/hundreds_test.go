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
	stormChanges = 400
	missed       = 40
	stormPause   = 20 * time.Millisecond
	zoneEvery    = 8
)

// changeStorm is a day of hundreds of changes: routes come and go, zones are evacuated and taken back.
type changeStorm struct {
	lossScenario
	number  int
	version int
	drained map[string]bool
	lonely  int
}

// returningMember is one way in which a member goes and comes back, or another in its place.
type returningMember struct {
	name   string
	member int
	lose   func(s *changeStorm)
	back   func(s *changeStorm) int
}

var returnings = []returningMember{
	{"killed with its disk kept", 1, func(s *changeStorm) { s.f.kill(coreHost(1)) }, func(s *changeStorm) int {
		s.f.startCore(coreHost(1), false, 1, 2, 3)
		return 1
	}},
	{"wiped", 2, func(s *changeStorm) { s.f.kill(coreHost(2)); s.f.wipe(coreHost(2)) }, func(s *changeStorm) int {
		s.f.startCore(coreHost(2), false, 1, 2, 3)
		return 2
	}},
	{"replaced", 3, func(s *changeStorm) { s.f.kill(coreHost(3)); s.drop(3) }, func(s *changeStorm) int {
		s.join([]int{4})
		return 4
	}},
	{"cut off from the others", 1, func(s *changeStorm) { s.isolate(1, true) }, func(s *changeStorm) int {
		s.isolate(1, false)
		return 1
	}},
	{"frozen", 2, func(s *changeStorm) { s.f.network.freeze(coreHost(2), true) }, func(s *changeStorm) int {
		s.f.network.freeze(coreHost(2), false)
		return 2
	}},
	{"killed with its disk kept, once more", 4, func(s *changeStorm) { s.f.kill(coreHost(4)) }, func(s *changeStorm) int {
		s.f.startCore(coreHost(4), false, 1, 2, 4)
		return 4
	}},
}

func (s *changeStorm) note(format string, details ...any) {
	s.problems = append(s.problems, fmt.Sprintf(format, details...))
}

func (s *changeStorm) isolate(member int, cut bool) {
	for _, host := range s.hosts {
		if host != coreHost(member) {
			s.f.network.delayBoth(coreHost(member), host, cut)
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
	s.f = startFleetOf(t, 3, 1, 0)
	time.Sleep(3 * time.Second)
	assert.Equal(t, s.f.put(1, 0, 1, document(1, "")).status, http.StatusOK)
	s.o = newOperators(s.f, seed, 1, 2, 3, 4)
	s.o.lossShare = 0.05
	s.hosts = []string{coreHost(1), coreHost(2), coreHost(3)}
	s.change(stormChanges/len(returnings) - missed + int(6*s.o.randomFloat()))
	for _, returning := range returnings {
		returning.lose(s)
		s.change(missed)
		began := time.Now()
		member := returning.back(s)
		s.checkReturned(returning.name, member, began)
		s.change(stormChanges/len(returnings) - missed + int(6*s.o.randomFloat()))
		time.Sleep(syncTime)
	}
	s.problems = append(s.problems, s.o.violationsAt(s.hosts...)...)
	assert.Assert(t, s.number > stormChanges, "%d changes", s.number)
	assert.Equal(t, len(s.problems), 0, "%s%s", listed(s.problems), s.o.describe(s.hosts...))
}

// change sends so many changes, with an evacuation or its withdrawal now and then.
func (s *changeStorm) change(amount int) {
	for range amount {
		s.number++
		change := replaceRoute(s.version, s.version+1, fmt.Sprint("storm-", s.number), fmt.Sprint("storm-", s.number-30))
		if s.number <= 30 {
			change = addRoute(s.version, s.version+1, fmt.Sprint("storm-", s.number))
		}
		if s.o.send(change, 8*time.Second) != acknowledged {
			s.problems = append(s.problems, "not acknowledged: "+change.name)
		}
		s.version = max(s.version+1, s.o.newest())
		if s.number%zoneEvery == 0 {
			s.flipZone()
		}
		time.Sleep(stormPause)
	}
}

func (s *changeStorm) flipZone() {
	zone := []string{"east", "south", "abroad"}[s.number/zoneEvery%3]
	s.drained[zone] = !s.drained[zone]
	for attempt := range 3 {
		if s.o.sendZone(zone, s.drained[zone], fmt.Sprintf("%d-%d", s.number, attempt)) == acknowledged {
			return
		}
	}
	s.note("evacuation %d of %s is not acknowledged", s.number, zone)
}

// checkReturned starts a data plane that reaches only the returned member and waits for syncTimeS; no change comes meanwhile.
func (s *changeStorm) checkReturned(name string, member int, began time.Time) {
	edge := 3 + s.lonely
	s.lonely++
	for number := 1; number <= 4; number++ {
		if number != member {
			s.f.network.partition(edgeHost(edge), coreHost(number), true)
		}
	}
	s.f.startEdgeWith(edgeHost(edge), member)
	added, removed := fmt.Sprintf("/storm-%d/", s.number), fmt.Sprintf("/storm-%d/", s.number-30)
	served := false
	for time.Since(began) < syncTime {
		served = s.askLonely(name, edge, added, removed, began)
		time.Sleep(probeEvery)
	}
	if !served {
		s.note("%s: a data plane at %s alone serves nothing within syncTimeS", name, coreHost(member))
	}
	s.f.kill(edgeHost(edge))
	status := s.o.status(coreHost(member))
	if !status.Fresh || int(status.Revision) != s.version {
		s.note("%s: after syncTimeS %s has revision %d of %d, fresh %t", name, coreHost(member), status.Revision, s.version, status.Fresh)
	}
	for zone, drained := range s.drained {
		if slices.Contains(status.DrainedZones, zone) != drained {
			s.note("%s: after syncTimeS %s says drained=%t of %s, fresh %t", name, coreHost(member), !drained, zone, status.Fresh)
		}
	}
}

// askLonely says whether the data plane is ready with the newest routes. There are no replicas: a known route gets 503.
func (s *changeStorm) askLonely(name string, edge int, added, removed string, began time.Time) bool {
	moment := time.Since(began).Round(time.Millisecond)
	ready := s.f.call(http.MethodGet, edgeHost(edge)+":8167", "/ferryspar/readyz", "", nil).status == http.StatusOK
	got := s.f.request(edge, fmt.Sprintf("added-%d-%s", edge, moment), added, "swift")
	gone := s.f.request(edge, fmt.Sprintf("removed-%d-%s", edge, moment), removed, "swift")
	if got.status == http.StatusNotFound {
		s.note("%s: a data plane at it alone refuses the newest route %s after the return", name, moment)
	}
	if ready && gone.status != http.StatusNotFound {
		s.note("%s: a data plane at it alone knows a removed route %s after the return", name, moment)
	}
	return ready && got.status != http.StatusNotFound && gone.status == http.StatusNotFound
}
