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
	cutLasts    = 20 * time.Second
	healBound   = 3 * time.Second
	probeEvery  = 200 * time.Millisecond
	cutCore     = 1
	evacuated   = "south"
	replicaGone = "seal-i-2"
)

// partitionKind is one way in which a control daemon loses contact.
type partitionKind struct {
	name  string
	apply func(f *fleet, on bool)
}

func eachOther(f *fleet, change func(alone, other string)) {
	for number := range f.cores {
		if other := coreHost(number + 1); other != coreHost(cutCore) {
			change(coreHost(cutCore), other)
		}
	}
}

var cutKinds = []partitionKind{
	{"from the control daemons, bytes wait", func(f *fleet, on bool) {
		eachOther(f, func(alone, other string) { f.network.delayBoth(alone, other, on) })
	}},
	{"from the control daemons, writers wait", func(f *fleet, on bool) {
		eachOther(f, func(alone, other string) { f.network.partition(alone, other, on) })
	}},
	{"one way, it is not heard", func(f *fleet, on bool) {
		eachOther(f, func(alone, other string) { f.network.delay(alone, other, on) })
	}},
	{"one way, it does not hear", func(f *fleet, on bool) {
		eachOther(f, func(alone, other string) { f.network.delay(other, alone, on) })
	}},
	{"frozen", func(f *fleet, on bool) { f.network.freeze(coreHost(cutCore), on) }},
	{"from everything", func(f *fleet, on bool) {
		eachOther(f, func(alone, other string) { f.network.delayBoth(alone, other, on) })
		for number := 1; number <= 9; number++ {
			f.network.delayBoth(coreHost(cutCore), edgeHost(number), on)
		}
		f.network.delayBoth(coreHost(cutCore), operatorHost, on)
		f.network.delayBoth(coreHost(cutCore), "10.200.0.1", on)
	}},
}

func TestMember_PartitionedForTwentySecondsAnswersOnlyWithProof(t *testing.T) {
	for _, cores := range []int{3, 5} {
		for index := 0; index < len(cutKinds); index += casesFor(1+3*(cores-3)/2, 1) {
			kind := cutKinds[index]
			t.Run(fmt.Sprintf("%d daemons, %s", cores, kind.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runPartition(t, cores, kind) })
			})
		}
	}
}

func runPartition(t *testing.T, cores int, kind partitionKind) {
	c := newPartitionScenario(t, cores)
	kind.apply(c.f, true)
	c.now(&c.cutAt)
	go c.pressTheCutOne()
	c.watchEdge(1, false)
	c.watchEdge(2, false)
	c.changeElsewhere()
	c.lateCopies("far", "east")
	c.startLonely(5)
	c.sleepUntil(cutLasts - 600*time.Millisecond)
	go c.lateEvacuation("near", "north")
	c.sleepUntil(cutLasts)
	kind.apply(c.f, false)
	c.now(&c.healedAt)
	for edge, wait := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 800 * time.Millisecond} {
		time.Sleep(wait)
		c.startLonely(6 + edge)
	}
	c.sleepUntil(cutLasts + healBound)
	c.allServeTheNewest()
	c.sleepUntil(cutLasts + 8*time.Second)
	c.edgesServeTheNewest()
	c.zonesAreAsAcknowledged("8 s after the heal")
	close(c.over)
	c.note(c.o.violations()...)
	assert.Equal(t, len(c.problems), 0, listed(c.problems))
}

func (c *partitionScenario) changeElsewhere() {
	c.send(replaceRoute(1, 2, "fresh", "patient"))
	c.now(&c.changedAt)
	c.startLonely(3)
	c.zone(evacuated, true, "first")
	c.sleepUntil(4 * time.Second)
	c.zone(evacuated, false, "first")
	c.zone(evacuated, true, "second")
	c.now(&c.evacuatedAt)
	c.startLonely(4)
	for version := 2; version < 6; version++ {
		time.Sleep(time.Second)
		c.send(addRoute(version, version+1, fmt.Sprint("more-", version)))
	}
}

// lateCopies leaves a copy of a withdrawal with the daemon that is cut off; the zone is evacuated again after it.
func (c *partitionScenario) lateCopies(occasion, zone string) {
	c.zone(zone, true, "before "+occasion)
	withdrawal := evacuate(zone, false, occasion)
	c.o.attempt(withdrawal, coreHost(cutCore))
	c.send(withdrawal)
	c.zone(zone, true, "after "+occasion)
}

// lateEvacuation leaves a copy of an evacuation there shortly before the heal; it is withdrawn after it.
func (c *partitionScenario) lateEvacuation(occasion, zone string) {
	change := evacuate(zone, true, occasion)
	c.o.attempt(change, coreHost(cutCore))
	c.send(change)
	c.zone(zone, false, "after "+occasion)
}

// pressTheCutOne calls the daemon that is cut off; nothing that it can say then is proven.
func (c *partitionScenario) pressTheCutOne() {
	host := coreHost(cutCore)
	for number := 0; ; number++ {
		time.Sleep(300 * time.Millisecond)
		if !c.get(&c.healedAt).IsZero() {
			return
		}
		var call operatorCall
		switch number % 3 {
		case 0:
			call = c.o.attempt(addRoute(1, 50+number, fmt.Sprint("pressed-", number)), host)
		case 1:
			call = c.o.attempt(evacuate("abroad", number%2 == 0, fmt.Sprint("pressed-", number)), host)
		case 2:
			call = operatorCall{change: operatorChange{name: "read"}, host: host, began: time.Now()}
			call.status, call.reason = c.o.read(host)
			call.ended = time.Now()
		}
		if c.get(&c.healedAt).IsZero() && outcomeOf(call.status) != unclear {
			c.note("not to be proven, yet answered: " + call.String())
		}
	}
}

func (c *partitionScenario) allServeTheNewest() {
	for _, host := range c.o.hosts {
		status, content := c.o.read(host)
		if status != http.StatusOK || revisionIn(content) != c.o.newest() {
			c.note(fmt.Sprintf("3 s after the heal %s reads %d %.80s", host, status, content))
		}
	}
	c.zonesAreAsAcknowledged("3 s after the heal")
}

func (c *partitionScenario) zonesAreAsAcknowledged(when string) {
	for _, host := range c.o.hosts {
		for _, problem := range c.o.zoneViolations(host) {
			c.note(when + " " + problem)
		}
	}
}
