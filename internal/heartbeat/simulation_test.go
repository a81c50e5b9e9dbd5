package heartbeat_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/heartbeat"
	"ferryspar/internal/test/keystoresim"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = 600 * time.Millisecond
	reportInterval    = 500 * time.Millisecond
	suspectAfter      = 1600 * time.Millisecond
	reportTimeout     = 3 * time.Second
	dataPlaneExpiry   = 10 * time.Second
	startupTime       = 4 * time.Second
	recoveryTime      = 2 * time.Second
	memberCount       = 5
)

type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(left, right int) bool {
	return a[left].at.Before(a[right].at) || a[left].at.Equal(a[right].at) && a[left].order < a[right].order
}
func (a eventQueue) Swap(left, right int) { a[left], a[right] = a[right], a[left] }
func (a *eventQueue) Push(one any)        { *a = append(*a, one.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type machine struct {
	name        string
	frozenUntil time.Time
	controls    *heartbeat.Registry
	dataPlanes  *heartbeat.Registry
	suspicions  map[string]int
	suspected   map[string]bool
}

type simulation struct {
	random       *rand.Rand
	events       eventQueue
	order        int
	now          time.Time
	lossPercent  int
	suspectAfter time.Duration
	slow         string
	cutUntil     map[[2]string]time.Time
	machines     map[string]*machine
	control      []string
	dataPlanes   []string
	failure      error
}

func (s *simulation) schedule(delay time.Duration, act func(now time.Time)) {
	s.order++
	heap.Push(&s.events, event{s.now.Add(delay), s.order, act})
}

func (s *simulation) send(from, to string, bound time.Duration, act func(now time.Time)) {
	delay := time.Duration(s.random.Int64N(int64(3 * time.Millisecond)))
	for again := 200 * time.Millisecond; s.random.IntN(100) < s.lossPercent; again *= 2 {
		delay += again
	}
	if from == s.slow || to == s.slow {
		delay += time.Duration(s.random.Int64N(int64(250 * time.Millisecond)))
	}
	if delay > bound || s.now.Before(s.cutUntil[[2]string{from, to}]) {
		return
	}
	s.schedule(delay, func(now time.Time) { s.whenAwake(to, act) })
}

func (s *simulation) whenAwake(name string, act func(now time.Time)) {
	if wait := s.machines[name].frozenUntil.Sub(s.now); wait > 0 {
		s.schedule(wait+time.Duration(s.random.Int64N(int64(time.Millisecond))), act)
		return
	}
	act(s.now)
}

func (s *simulation) repeat(name string, every time.Duration, act func(now time.Time)) {
	s.whenAwake(name, func(now time.Time) {
		act(now)
		s.schedule(every, func(time.Time) { s.repeat(name, every, act) })
	})
}

func (s *simulation) sendHeartbeats(one *machine) {
	dataPlanes := one.dataPlanes.Live(s.now, reportTimeout)
	targets := heartbeat.Watchers(one.name, s.control, 3)
	for _, name := range s.control {
		if name == one.name || !slices.Contains(targets, name) && !slices.Contains(s.control[:memberCount], name) {
			continue
		}
		s.send(one.name, name, heartbeatTimeout, func(now time.Time) {
			hearer := s.machines[name]
			hearer.controls.Record(one.name, heartbeat.Heartbeat{ReportedAt: now})
			for _, dataPlane := range dataPlanes {
				hearer.dataPlanes.RecordContact(dataPlane, now)
			}
		})
	}
}

func (s *simulation) checkSuspicions(one *machine) {
	total := one.dataPlanes.Count(s.now)
	if total < len(s.dataPlanes) && s.now.Sub(startTime) > startupTime {
		s.failure = fmt.Errorf("%s counts %d of %d edges at %s", one.name, total, len(s.dataPlanes), s.now.Sub(startTime))
	}
	for _, name := range s.control {
		if name == one.name || s.now.Sub(startTime) < startupTime || s.now.Sub(one.frozenUntil) < startupTime {
			continue
		}
		doubted := s.now.Sub(one.controls.LastReport(name)) > s.suspectAfter
		if doubted && !one.suspected[name] {
			one.suspicions[name]++
		}
		one.suspected[name] = doubted
		troubled := s.now.Sub(s.machines[name].frozenUntil) < recoveryTime || s.now.Before(s.cutUntil[[2]string{name, one.name}].Add(recoveryTime))
		if doubted && !troubled {
			s.failure = fmt.Errorf("%s suspects %s without a cause at %s", one.name, name, s.now.Sub(startTime))
		}
	}
}

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func runSimulation(seed uint64, expireAfter, suspects time.Duration) error {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 41)), now: startTime, cutUntil: map[[2]string]time.Time{}, machines: map[string]*machine{}, suspectAfter: suspects}
	s.lossPercent = s.random.IntN(6)
	add := func(name string) *machine {
		one := &machine{name: name, frozenUntil: startTime, controls: heartbeat.NewRegistry(30 * time.Second), dataPlanes: heartbeat.NewRegistry(expireAfter), suspicions: map[string]int{}, suspected: map[string]bool{}}
		s.machines[name] = one
		return one
	}
	for index := range 5 {
		s.control = append(s.control, add(fmt.Sprintf("control-%d", index)).name)
	}
	for index := range 8 {
		s.dataPlanes = append(s.dataPlanes, add(fmt.Sprintf("edge-%d", index)).name)
	}
	s.slow = s.control[s.random.IntN(5)]
	freezes := map[string]int{}
	for _, name := range s.control {
		one := s.machines[name]
		s.schedule(time.Duration(s.random.Int64N(int64(heartbeatInterval))), func(time.Time) {
			s.repeat(name, heartbeatInterval, func(time.Time) { s.sendHeartbeats(one) })
			s.repeat(name, 97*time.Millisecond, func(time.Time) { s.checkSuspicions(one) })
		})
		for _, dataPlane := range s.dataPlanes {
			s.schedule(time.Duration(s.random.Int64N(int64(reportInterval))), func(time.Time) {
				s.repeat(dataPlane, reportInterval, func(time.Time) {
					s.send(dataPlane, name, reportTimeout, func(now time.Time) { one.dataPlanes.Record(dataPlane, heartbeat.Heartbeat{ReportedAt: now}) })
				})
			})
		}
	}
	var trouble func(time.Time)
	trouble = func(now time.Time) {
		lasting := time.Duration(s.random.Int64N(int64(8 * time.Second)))
		all := append(append([]string{}, s.control...), s.dataPlanes...)
		name, other := all[s.random.IntN(len(all))], all[s.random.IntN(len(all))]
		if s.random.IntN(2) == 0 {
			if slices.Contains(s.control, name) {
				lasting *= 3
			}
			s.machines[name].frozenUntil = now.Add(lasting)
			freezes[name]++
		} else if name != other {
			s.cutUntil[[2]string{name, other}], s.cutUntil[[2]string{other, name}] = now.Add(lasting), now.Add(lasting)
			freezes[name]++
			freezes[other]++
		}
		s.schedule(lasting+startupTime+time.Second, trouble)
	}
	s.schedule(startupTime, trouble)
	for s.events.Len() > 0 && s.now.Before(startTime.Add(5*time.Minute)) && s.failure == nil {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run(s.now)
	}
	for _, one := range s.machines {
		for name, times := range one.suspicions {
			if times > freezes[name] {
				return fmt.Errorf("%s suspected %s %d times for %d troubles", one.name, name, times, freezes[name])
			}
		}
	}
	return s.failure
}

func TestRegistry_SuspectsOnlyWithCauseUnderFaults(t *testing.T) {
	from, to := keystoresim.SeedRange(60)
	for seed := from; seed < to; seed++ {
		assert.NilError(t, runSimulation(uint64(seed), dataPlaneExpiry, suspectAfter), "FERRYSPAR_SEED=%d replays this schedule", seed)
	}
}

func TestSimulation_CatchesHastyWatchers(t *testing.T) {
	for name, spoilt := range map[string][2]time.Duration{"forgets too soon": {2 * time.Second, suspectAfter}, "suspects too soon": {dataPlaneExpiry, 2 * heartbeatInterval}} {
		var caught error
		for seed := 1; seed < 60 && caught == nil; seed++ {
			caught = runSimulation(uint64(seed), spoilt[0], spoilt[1])
		}
		assert.Assert(t, caught != nil, name)
		t.Log(caught)
	}
}
