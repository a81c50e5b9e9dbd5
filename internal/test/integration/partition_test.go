package integration

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	partitionDuration    = 20 * time.Second
	healTimeout          = 3 * time.Second
	probeInterval        = 200 * time.Millisecond
	partitionedCore      = 1
	evacuatedZone        = "south"
	evacuatedReplicaSeal = "seal-i-2"
)

// partitionKind is one way in which a member loses contact.
type partitionKind struct {
	name  string
	apply func(f *fleet, on bool)
}

func forEachOtherMember(f *fleet, change func(partitioned, other string)) {
	for number := range f.cores {
		if other := coreHost(number + 1); other != coreHost(partitionedCore) {
			change(coreHost(partitionedCore), other)
		}
	}
}

var partitionKinds = []partitionKind{
	{"from the other members, bytes wait", func(f *fleet, on bool) {
		forEachOtherMember(f, func(partitioned, other string) { f.network.delayBoth(partitioned, other, on) })
	}},
	{"from the other members, writers wait", func(f *fleet, on bool) {
		forEachOtherMember(f, func(partitioned, other string) { f.network.partition(partitioned, other, on) })
	}},
	{"one way, nothing leaves it", func(f *fleet, on bool) {
		forEachOtherMember(f, func(partitioned, other string) { f.network.delay(partitioned, other, on) })
	}},
	{"one way, nothing reaches it", func(f *fleet, on bool) {
		forEachOtherMember(f, func(partitioned, other string) { f.network.delay(other, partitioned, on) })
	}},
	{"frozen", func(f *fleet, on bool) { f.network.freeze(coreHost(partitionedCore), on) }},
	{"from everything", func(f *fleet, on bool) {
		forEachOtherMember(f, func(partitioned, other string) { f.network.delayBoth(partitioned, other, on) })
		for number := 1; number <= 9; number++ {
			f.network.delayBoth(coreHost(partitionedCore), edgeHost(number), on)
		}
		f.network.delayBoth(coreHost(partitionedCore), operatorHost, on)
		f.network.delayBoth(coreHost(partitionedCore), "10.200.0.1", on)
	}},
}

func TestMember_PartitionedForTwentySecondsAnswersOnlyWithProof(t *testing.T) {
	for _, cores := range []int{3, 5} {
		for index := 0; index < len(partitionKinds); index += casesFor(1+3*(cores-3)/2, 1) {
			kind := partitionKinds[index]
			t.Run(fmt.Sprintf("%d daemons, %s", cores, kind.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runPartition(t, cores, kind) })
			})
		}
	}
}

func runPartition(t *testing.T, cores int, kind partitionKind) {
	s := newPartitionScenario(t, cores)
	kind.apply(s.fleet, true)
	s.recordTime(&s.partitionedAt)
	go s.callPartitionedMember()
	s.watchEdge(1, false)
	s.watchEdge(2, false)
	s.changeOnMajoritySide()
	s.resendWithdrawalLate("far", "east")
	s.startIsolatedEdge(5)
	s.sleepUntil(partitionDuration - 600*time.Millisecond)
	go s.resendEvacuationLate("near", "north")
	s.sleepUntil(partitionDuration)
	kind.apply(s.fleet, false)
	s.recordTime(&s.healedAt)
	for edge, wait := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 800 * time.Millisecond} {
		time.Sleep(wait)
		s.startIsolatedEdge(6 + edge)
	}
	s.sleepUntil(partitionDuration + healTimeout)
	s.checkMembersUpToDate()
	s.sleepUntil(partitionDuration + 8*time.Second)
	s.checkEdgesUpToDate()
	s.checkZones("8 s after the heal")
	close(s.done)
	s.recordProblems(s.operators.violations()...)
	assert.Equal(t, len(s.problems), 0, summarizeProblems(s.problems))
}

func (s *partitionScenario) changeOnMajoritySide() {
	s.send(replaceRoute(1, 2, "fresh", "patient"))
	s.recordTime(&s.changedAt)
	s.startIsolatedEdge(3)
	s.setZoneDrained(evacuatedZone, true, "first")
	s.sleepUntil(4 * time.Second)
	s.setZoneDrained(evacuatedZone, false, "first")
	s.setZoneDrained(evacuatedZone, true, "second")
	s.recordTime(&s.evacuatedAt)
	s.startIsolatedEdge(4)
	for version := 2; version < 6; version++ {
		time.Sleep(time.Second)
		s.send(addRoute(version, version+1, fmt.Sprint("more-", version)))
	}
}

// resendWithdrawalLate sends the withdrawal of an evacuation to the partitioned member first; the zone is evacuated again later.
func (s *partitionScenario) resendWithdrawalLate(label, zone string) {
	s.setZoneDrained(zone, true, "before "+label)
	withdrawal := evacuationChange(zone, false, label)
	s.operators.attempt(withdrawal, coreHost(partitionedCore))
	s.send(withdrawal)
	s.setZoneDrained(zone, true, "after "+label)
}

// resendEvacuationLate sends an evacuation to the partitioned member shortly before the heal; it is withdrawn afterwards.
func (s *partitionScenario) resendEvacuationLate(label, zone string) {
	change := evacuationChange(zone, true, label)
	s.operators.attempt(change, coreHost(partitionedCore))
	s.send(change)
	s.setZoneDrained(zone, false, "after "+label)
}

// callPartitionedMember calls the partitioned member, which can prove none of its answers until the heal.
func (s *partitionScenario) callPartitionedMember() {
	host := coreHost(partitionedCore)
	for number := 0; ; number++ {
		time.Sleep(300 * time.Millisecond)
		if !s.readTime(&s.healedAt).IsZero() {
			return
		}
		var call operatorCall
		switch number % 3 {
		case 0:
			call = s.operators.attempt(addRoute(1, 50+number, fmt.Sprint("isolated-", number)), host)
		case 1:
			call = s.operators.attempt(evacuationChange("abroad", number%2 == 0, fmt.Sprint("isolated-", number)), host)
		case 2:
			call = operatorCall{change: operatorChange{name: "read"}, host: host, began: time.Now()}
			call.status, call.reason = s.operators.read(host)
			call.ended = time.Now()
		}
		if s.readTime(&s.healedAt).IsZero() && outcomeOf(call.status) != unknown {
			s.recordProblems("answered without proof: " + call.String())
		}
	}
}

func (s *partitionScenario) checkMembersUpToDate() {
	for _, host := range s.operators.hosts {
		status, content := s.operators.read(host)
		if status != http.StatusOK || revisionIn(content) != s.operators.newestAcknowledged() {
			s.recordProblems(fmt.Sprintf("3 s after the heal %s reads %d %.80s", host, status, content))
		}
	}
	s.checkZones("3 s after the heal")
}

func (s *partitionScenario) checkZones(when string) {
	for _, host := range s.operators.hosts {
		for _, problem := range s.operators.zoneViolations(host) {
			s.recordProblems(when + " " + problem)
		}
	}
}
