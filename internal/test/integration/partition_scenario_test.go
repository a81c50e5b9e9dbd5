package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

const runningEdges = 2

// partitionScenario partitions one member: operators change the configuration on the majority side while data planes,
// running ones and newly started ones, are checked against it.
type partitionScenario struct {
	fleet         *fleet
	operators     *operators
	majority      *operators
	lock          sync.Mutex
	problems      []string
	partitionedAt time.Time
	changedAt     time.Time
	evacuatedAt   time.Time
	healedAt      time.Time
	isolatedEdges []int
	done          chan struct{}
}

func newPartitionScenario(t *testing.T, cores int) *partitionScenario {
	firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
	secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
	f := startFleetOf(t, cores, (cores-1)/2, runningEdges, firstReplica, secondReplica)
	numbers := make([]int, 0, cores)
	for number := 1; number <= cores; number++ {
		numbers = append(numbers, number)
	}
	s := &partitionScenario{fleet: f, operators: newOperators(f, 1, numbers...), done: make(chan struct{})}
	s.majority = newOperators(f, 2, numbers[1:]...)
	time.Sleep(3 * time.Second)
	assert.Assert(t, s.operators.waitMembers(coreHost(1), cores, 30*time.Second), "the members do not form a cluster")
	assert.Equal(t, f.putConfiguration(1, 0, document(1, "")).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	return s
}

func (s *partitionScenario) recordProblems(problems ...string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.problems = append(s.problems, problems...)
}

// recordTime sets one of the moments of the scenario to now.
func (s *partitionScenario) recordTime(moment *time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	*moment = time.Now()
}

func (s *partitionScenario) readTime(moment *time.Time) time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	return *moment
}

func (s *partitionScenario) sleepUntil(sincePartition time.Duration) {
	time.Sleep(time.Until(s.partitionedAt.Add(sincePartition)))
}

// send sends a change on the majority side and adds the calls to those of all operators.
func (s *partitionScenario) send(change operatorChange) {
	result := s.majority.send(change, zoneResendBound)
	s.majority.lock.Lock()
	calls := s.majority.calls
	s.majority.calls = nil
	s.majority.lock.Unlock()
	s.operators.lock.Lock()
	s.operators.calls = append(s.operators.calls, calls...)
	s.operators.lock.Unlock()
	if result != acknowledged {
		s.recordProblems(fmt.Sprintf("not acknowledged on the majority side: %s: %v", change.name, calls))
	}
}

func (s *partitionScenario) setZoneDrained(zone string, drained bool, label string) {
	s.send(evacuationChange(zone, drained, label))
}

// startIsolatedEdge starts a data plane that can reach no member but the partitioned one.
func (s *partitionScenario) startIsolatedEdge(edge int) {
	for number := 1; number <= s.fleet.cores; number++ {
		if number != partitionedCore {
			s.fleet.network.partition(edgeHost(edge), coreHost(number), true)
		}
	}
	s.fleet.startEdge(edgeHost(edge))
	s.isolatedEdges = append(s.isolatedEdges, edge)
	s.watchEdge(edge, true)
}

// watchEdge sends requests to a data plane and records each answer that only an older state allows.
func (s *partitionScenario) watchEdge(edge int, started bool) {
	go func() {
		seen := started
		for number := 0; ; number++ {
			select {
			case <-s.done:
				return
			case <-time.After(probeInterval):
			}
			changed, evacuatedAt := s.readTime(&s.changedAt), s.readTime(&s.evacuatedAt)
			added := s.fleet.request(edge, fmt.Sprintf("added-%d-%d", edge, number), "/fresh/", "swift")
			if added.status == http.StatusOK {
				seen = true
			}
			if seen && !changed.IsZero() {
				s.checkRoutes(edge, added, s.fleet.request(edge, fmt.Sprintf("removed-%d-%d", edge, number), "/patient/", "swift"))
			}
			bound := 5 * time.Second
			if started {
				bound = 0
			}
			if !evacuatedAt.IsZero() && time.Since(evacuatedAt) > bound {
				s.checkZone(edge, s.fleet.request(edge, fmt.Sprintf("zone-%d-%d", edge, number), "/quick/", "swift"))
			}
		}
	}()
}

func (s *partitionScenario) sincePartition() string {
	return fmt.Sprintf("%s after the partition", time.Since(s.partitionedAt).Round(time.Millisecond))
}

// edgeLabel names a data plane; those that ran before the partition are called running.
func edgeLabel(edge int) string {
	if edge <= runningEdges {
		return fmt.Sprint("the running data plane ", edge)
	}
	return fmt.Sprint("data plane ", edge)
}

func (s *partitionScenario) checkRoutes(edge int, added, removed reply) {
	if added.status == http.StatusNotFound {
		s.recordProblems(fmt.Sprintf("%s rejects the new route %s", edgeLabel(edge), s.sincePartition()))
	}
	if removed.status == http.StatusOK {
		s.recordProblems(fmt.Sprintf("%s serves the removed route %s", edgeLabel(edge), s.sincePartition()))
	}
}

func (s *partitionScenario) checkZone(edge int, got reply) {
	if got.status == http.StatusOK && got.header.Get(replica.HeaderSeal) == evacuatedReplicaSeal {
		s.recordProblems(fmt.Sprintf("%s sends to the evacuated zone %s", edgeLabel(edge), s.sincePartition()))
	}
}

// requestWithRetry retries after a 503: the watched data planes use up the few slots of the one replica that is left,
// which says nothing of the configuration.
func (s *partitionScenario) requestWithRetry(edge int, path string) reply {
	const attempts = 10
	var last reply
	for attempt := range attempts {
		last = s.fleet.request(edge, fmt.Sprint("last-", path, edge, "-", attempt), path, "swift")
		if last.status != http.StatusServiceUnavailable {
			return last
		}
		time.Sleep(probeInterval)
	}
	return last
}

func (s *partitionScenario) checkEdgesUpToDate() {
	for _, edge := range append([]int{1, 2}, s.isolatedEdges...) {
		added := s.requestWithRetry(edge, "/fresh/")
		removed := s.fleet.request(edge, fmt.Sprint("last-removed-", edge), "/patient/", "swift")
		if added.status != http.StatusOK || removed.status != http.StatusNotFound {
			s.recordProblems(fmt.Sprintf("%s answers %d and %d 8 s after the heal", edgeLabel(edge), added.status, removed.status))
		}
	}
}
