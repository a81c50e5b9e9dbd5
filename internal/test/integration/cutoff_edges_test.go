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

// partitionScenario is the run of one cut: operators at the other side, data planes old and new, and what went wrong.
type partitionScenario struct {
	f           *fleet
	o           *operators
	elsewhere   *operators
	lock        sync.Mutex
	problems    []string
	cutAt       time.Time
	changedAt   time.Time
	evacuatedAt time.Time
	healedAt    time.Time
	lonely      []int
	over        chan struct{}
}

func newPartitionScenario(t *testing.T, cores int) *partitionScenario {
	standIn, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
	f := startFleetOf(t, cores, (cores-1)/2, runningEdges, standIn, two)
	numbers := make([]int, 0, cores)
	for number := 1; number <= cores; number++ {
		numbers = append(numbers, number)
	}
	c := &partitionScenario{f: f, o: newOperators(f, 1, numbers...), over: make(chan struct{})}
	c.elsewhere = newOperators(f, 2, numbers[1:]...)
	time.Sleep(3 * time.Second)
	assert.Assert(t, c.o.waitMembers(coreHost(1), cores, 30*time.Second), "members never come together")
	assert.Equal(t, f.put(1, 0, 1, document(1, "")).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	return c
}

func (c *partitionScenario) note(problems ...string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.problems = append(c.problems, problems...)
}

// now sets one of the moments of the story.
func (c *partitionScenario) now(moment *time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	*moment = time.Now()
}

func (c *partitionScenario) get(moment *time.Time) time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	return *moment
}

func (c *partitionScenario) sleepUntil(sinceCut time.Duration) {
	time.Sleep(time.Until(c.cutAt.Add(sinceCut)))
}

// send sends a change at the other side, where a majority is in touch, and keeps the calls with the others.
func (c *partitionScenario) send(change operatorChange) {
	said := c.elsewhere.send(change, zoneResendBound)
	c.elsewhere.lock.Lock()
	calls := c.elsewhere.record
	c.elsewhere.record = nil
	c.elsewhere.lock.Unlock()
	c.o.lock.Lock()
	c.o.record = append(c.o.record, calls...)
	c.o.lock.Unlock()
	if said != acknowledged {
		c.note(fmt.Sprintf("not acknowledged at the other side: %s: %v", change.name, calls))
	}
}

func (c *partitionScenario) zone(zone string, drained bool, occasion string) {
	c.send(evacuate(zone, drained, occasion))
}

// startLonely starts a data plane that can reach no control daemon but the one that is cut off.
func (c *partitionScenario) startLonely(edge int) {
	for number := 1; number <= c.f.cores; number++ {
		if number != cutCore {
			c.f.network.partition(edgeHost(edge), coreHost(number), true)
		}
	}
	c.f.startEdge(edgeHost(edge))
	c.lonely = append(c.lonely, edge)
	c.watchEdge(edge, true)
}

// watchEdge sends requests to a data plane and notes every one that only an older state allows.
func (c *partitionScenario) watchEdge(edge int, started bool) {
	go func() {
		seen := started
		for number := 0; ; number++ {
			select {
			case <-c.over:
				return
			case <-time.After(probeEvery):
			}
			changed, evacuatedAt := c.get(&c.changedAt), c.get(&c.evacuatedAt)
			added := c.f.request(edge, fmt.Sprintf("added-%d-%d", edge, number), "/fresh/", "swift")
			if added.status == http.StatusOK {
				seen = true
			}
			if seen && !changed.IsZero() {
				c.judge(edge, added, c.f.request(edge, fmt.Sprintf("removed-%d-%d", edge, number), "/patient/", "swift"))
			}
			bound := 5 * time.Second
			if started {
				bound = 0
			}
			if !evacuatedAt.IsZero() && time.Since(evacuatedAt) > bound {
				c.judgeZone(edge, c.f.request(edge, fmt.Sprintf("zone-%d-%d", edge, number), "/quick/", "swift"))
			}
		}
	}()
}

func (c *partitionScenario) moment() string {
	return fmt.Sprintf("%s after the cut", time.Since(c.cutAt).Round(time.Millisecond))
}

// label tells the data planes that ran before the cut from those that were started alone with the daemon that was cut off.
func label(edge int) string {
	if edge <= runningEdges {
		return fmt.Sprint("the running data plane ", edge)
	}
	return fmt.Sprint("data plane ", edge)
}

func (c *partitionScenario) judge(edge int, added, removed reply) {
	if added.status == http.StatusNotFound {
		c.note(fmt.Sprintf("%s refuses the new route %s", label(edge), c.moment()))
	}
	if removed.status == http.StatusOK {
		c.note(fmt.Sprintf("%s serves the removed route %s", label(edge), c.moment()))
	}
}

func (c *partitionScenario) judgeZone(edge int, got reply) {
	if got.status == http.StatusOK && got.header.Get(replica.HeaderSeal) == replicaGone {
		c.note(fmt.Sprintf("%s sends to the evacuated zone %s", label(edge), c.moment()))
	}
}

// askPatiently asks again after a refusal for want of a place: the data planes that are watched
// fill the few places of the one replica that is left, which says nothing of the configuration.
func (c *partitionScenario) askPatiently(edge int, path string) reply {
	const tries = 10
	var last reply
	for try := range tries {
		last = c.f.request(edge, fmt.Sprint("last-", path, edge, "-", try), path, "swift")
		if last.status != http.StatusServiceUnavailable {
			return last
		}
		time.Sleep(probeEvery)
	}
	return last
}

func (c *partitionScenario) edgesServeTheNewest() {
	for _, edge := range append([]int{1, 2}, c.lonely...) {
		added := c.askPatiently(edge, "/fresh/")
		removed := c.f.request(edge, fmt.Sprint("last-removed-", edge), "/patient/", "swift")
		if added.status != http.StatusOK || removed.status != http.StatusNotFound {
			c.note(fmt.Sprintf("%s answers %d and %d 8 s after the heal", label(edge), added.status, removed.status))
		}
	}
}
