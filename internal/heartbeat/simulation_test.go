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
	controlCount   = 5
	dataPlaneCount = 8
	watcherCount   = 3

	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = 600 * time.Millisecond
	reportInterval    = 500 * time.Millisecond
	reportTimeout     = 3 * time.Second
	checkInterval     = 97 * time.Millisecond
	controlExpiry     = 30 * time.Second
	startupTime       = 4 * time.Second
	recoveryTime      = 2 * time.Second
	maxFaultDuration  = 8 * time.Second
	simulatedTime     = 5 * time.Minute

	maxLossPercent  = 6
	retransmitDelay = 200 * time.Millisecond
	maxNetworkDelay = 3 * time.Millisecond
	maxSlowDelay    = 250 * time.Millisecond
	maxWakeUpDelay  = time.Millisecond
	// controlFreezeFactor is the ratio of the maximum freeze of a control daemon to that of a data plane.
	controlFreezeFactor = 3
)

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// timeouts are the timeouts that the daemons of a simulation use.
type timeouts struct {
	dataPlaneExpiry time.Duration
	suspectAfter    time.Duration
}

var defaultTimeouts = timeouts{dataPlaneExpiry: 10 * time.Second, suspectAfter: 1600 * time.Millisecond}

// machine is a simulated machine with its daemon.
type machine struct {
	name        string
	frozenUntil time.Time
	controls    *heartbeat.Registry
	dataPlanes  *heartbeat.Registry
	// suspicions counts how often each peer became suspected; suspected holds the currently suspected peers.
	suspicions map[string]int
	suspected  map[string]bool
	// faults counts the injected faults that may cause the machine to be suspected.
	faults int
}

// link is one direction of the network between two machines.
type link struct{ from, to string }

// simulation runs daemons that send heartbeats over a lossy network while faults are injected. It is determined by its seed.
type simulation struct {
	timeouts
	random      *rand.Rand
	events      eventQueue
	eventCount  int
	now         time.Time
	lossPercent int
	slow        string
	cutUntil    map[link]time.Time
	machines    map[string]*machine
	controls    []string
	dataPlanes  []string
	failure     error
}

func newSimulation(seed uint64, timeouts timeouts) *simulation {
	random := rand.New(rand.NewPCG(seed, 41))
	s := &simulation{
		timeouts:    timeouts,
		random:      random,
		now:         startTime,
		lossPercent: random.IntN(maxLossPercent),
		cutUntil:    map[link]time.Time{},
		machines:    map[string]*machine{},
	}
	for index := range controlCount {
		s.controls = append(s.controls, s.addMachine(fmt.Sprintf("control-%d", index)))
	}
	for index := range dataPlaneCount {
		s.dataPlanes = append(s.dataPlanes, s.addMachine(fmt.Sprintf("edge-%d", index)))
	}
	s.slow = s.controls[random.IntN(controlCount)]
	return s
}

func (s *simulation) addMachine(name string) string {
	s.machines[name] = &machine{
		name:        name,
		frozenUntil: startTime,
		controls:    heartbeat.NewRegistry(controlExpiry),
		dataPlanes:  heartbeat.NewRegistry(s.dataPlaneExpiry),
		suspicions:  map[string]int{},
		suspected:   map[string]bool{},
	}
	return name
}

func (s *simulation) run() error {
	for _, name := range s.controls {
		s.startControl(s.machines[name])
	}
	s.schedule(startupTime, s.injectFault)
	for s.events.Len() > 0 && s.elapsed() < simulatedTime && s.failure == nil {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run(s.now)
	}
	if err := s.checkSuspicionCounts(); err != nil {
		return err
	}
	return s.failure
}

// startControl schedules a control daemon's heartbeats and checks of its peers, and the reports of all data planes to it.
func (s *simulation) startControl(control *machine) {
	s.schedule(s.randomDuration(heartbeatInterval), func(time.Time) {
		s.repeat(control.name, heartbeatInterval, func() { s.sendHeartbeats(control) })
		s.repeat(control.name, checkInterval, func() { s.check(control) })
	})
	for _, dataPlane := range s.dataPlanes {
		s.schedule(s.randomDuration(reportInterval), func(time.Time) {
			s.repeat(dataPlane, reportInterval, func() { s.sendReport(dataPlane, control) })
		})
	}
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(startTime) }

func (s *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *simulation) schedule(delay time.Duration, run func(now time.Time)) {
	s.eventCount++
	heap.Push(&s.events, event{s.now.Add(delay), s.eventCount, run})
}

// repeat runs a daemon's activity now and after each interval. While its machine is frozen, the activity is postponed.
func (s *simulation) repeat(name string, interval time.Duration, run func()) {
	s.whenRunning(name, func(time.Time) {
		run()
		s.schedule(interval, func(time.Time) { s.repeat(name, interval, run) })
	})
}

func (s *simulation) whenRunning(name string, run func(now time.Time)) {
	if wait := s.machines[name].frozenUntil.Sub(s.now); wait > 0 {
		s.schedule(wait+s.randomDuration(maxWakeUpDelay), run)
		return
	}
	run(s.now)
}

// send delivers a message after the network delay, including retransmissions, unless that exceeds the timeout or the link is
// cut.
func (s *simulation) send(from, to string, timeout time.Duration, deliver func(now time.Time)) {
	delay := s.randomDuration(maxNetworkDelay)
	for retransmit := retransmitDelay; s.random.IntN(100) < s.lossPercent; retransmit *= 2 {
		delay += retransmit
	}
	if from == s.slow || to == s.slow {
		delay += s.randomDuration(maxSlowDelay)
	}
	if delay > timeout || s.now.Before(s.cutUntil[link{from, to}]) {
		return
	}
	s.schedule(delay, func(time.Time) { s.whenRunning(to, deliver) })
}

func (s *simulation) sendReport(dataPlane string, control *machine) {
	s.send(dataPlane, control.name, reportTimeout, func(now time.Time) {
		control.dataPlanes.Record(dataPlane, heartbeat.Heartbeat{ReportedAt: now})
	})
}

// sendHeartbeats sends a control daemon's heartbeat, with the list of its live data planes, to its watchers and to all members.
// In this simulation all control daemons are members.
func (s *simulation) sendHeartbeats(sender *machine) {
	dataPlanes := sender.dataPlanes.Live(s.now, reportTimeout)
	members := s.controls
	watchers := heartbeat.Watchers(sender.name, s.controls, watcherCount)
	for _, name := range s.controls {
		if name == sender.name || !slices.Contains(watchers, name) && !slices.Contains(members, name) {
			continue
		}
		s.send(sender.name, name, heartbeatTimeout, func(now time.Time) {
			receiver := s.machines[name]
			receiver.controls.Record(sender.name, heartbeat.Heartbeat{ReportedAt: now})
			for _, dataPlane := range dataPlanes {
				receiver.dataPlanes.RecordContact(dataPlane, now)
			}
		})
	}
}

// check fails the simulation if a control daemon counts too few data planes or suspects a peer without cause.
func (s *simulation) check(observer *machine) {
	total := observer.dataPlanes.Count(s.now)
	if total < len(s.dataPlanes) && s.elapsed() > startupTime {
		s.failure = fmt.Errorf("%s counts %d of %d data planes at %s", observer.name, total, len(s.dataPlanes), s.elapsed())
	}
	if s.elapsed() < startupTime || s.now.Sub(observer.frozenUntil) < startupTime {
		return
	}
	for _, name := range s.controls {
		if name != observer.name {
			s.checkPeer(observer, name)
		}
	}
}

func (s *simulation) checkPeer(observer *machine, peer string) {
	suspected := s.now.Sub(observer.controls.LastReport(peer)) > s.suspectAfter
	if suspected && !observer.suspected[peer] {
		observer.suspicions[peer]++
	}
	observer.suspected[peer] = suspected
	frozen := s.now.Sub(s.machines[peer].frozenUntil) < recoveryTime
	cut := s.now.Before(s.cutUntil[link{peer, observer.name}].Add(recoveryTime))
	if suspected && !frozen && !cut {
		s.failure = fmt.Errorf("%s suspects %s without cause at %s", observer.name, peer, s.elapsed())
	}
}

// checkSuspicionCounts returns an error if a peer was suspected more often than faults were injected that affect it.
func (s *simulation) checkSuspicionCounts() error {
	for _, observer := range s.machines {
		for peer, times := range observer.suspicions {
			if faults := s.machines[peer].faults; times > faults {
				return fmt.Errorf("%s suspected %s %d times for %d faults", observer.name, peer, times, faults)
			}
		}
	}
	return nil
}

// injectFault freezes a machine or cuts the links between two machines, and schedules the next fault after the recovery.
func (s *simulation) injectFault(now time.Time) {
	duration := s.randomDuration(maxFaultDuration)
	all := slices.Concat(s.controls, s.dataPlanes)
	name, other := all[s.random.IntN(len(all))], all[s.random.IntN(len(all))]
	if s.random.IntN(2) == 0 {
		if slices.Contains(s.controls, name) {
			duration *= controlFreezeFactor
		}
		s.machines[name].frozenUntil = now.Add(duration)
		s.machines[name].faults++
	} else if name != other {
		s.cutUntil[link{name, other}] = now.Add(duration)
		s.cutUntil[link{other, name}] = now.Add(duration)
		s.machines[name].faults++
		s.machines[other].faults++
	}
	s.schedule(duration+startupTime+time.Second, s.injectFault)
}

func TestRegistry_NoUnfoundedSuspicionUnderFaults(t *testing.T) {
	from, to := keystoresim.SeedRange(60)
	for seed := from; seed < to; seed++ {
		err := newSimulation(uint64(seed), defaultTimeouts).run()
		assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
	}
}

func TestSimulation_CatchesTooShortTimeouts(t *testing.T) {
	expiresTooEarly, suspectsTooEarly := defaultTimeouts, defaultTimeouts
	expiresTooEarly.dataPlaneExpiry = 2 * time.Second
	suspectsTooEarly.suspectAfter = 2 * heartbeatInterval
	for name, tooShort := range map[string]timeouts{
		"expires too early":  expiresTooEarly,
		"suspects too early": suspectsTooEarly,
	} {
		t.Run(name, func(t *testing.T) {
			var caught error
			for seed := uint64(1); seed < 60 && caught == nil; seed++ {
				caught = newSimulation(seed, tooShort).run()
			}
			assert.Assert(t, caught != nil)
			t.Log(caught)
		})
	}
}
