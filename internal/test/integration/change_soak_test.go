package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	changeSoakSeeds  = 6
	changeSoakRounds = 6
	// calmAfter is how long after the last fault all members count as being in contact.
	calmAfter = 5 * time.Second
	// decidedInCalm bounds how long a change may stay undecided after that.
	decidedInCalm = 1500 * time.Millisecond
)

// changeSoak sends changes of the configuration while members fail, and again after the faults.
type changeSoak struct {
	*fleet
	operators *operators
	random    *rand.Rand
	version   int
}

// memberFault injects a fault into one member for a duration, while operators go on with their calls.
type memberFault func(s *changeSoak, member int, duration time.Duration)

// memberFaults are faults of single members. A path that is blocked in one direction lets heartbeats pass but not answers, or
// the reverse.
var memberFaults = []memberFault{
	func(s *changeSoak, member int, duration time.Duration) {
		s.network.freeze(coreHost(member), true)
		time.Sleep(duration)
		s.network.freeze(coreHost(member), false)
	},
	func(s *changeSoak, member int, duration time.Duration) {
		s.delayPaths(member, duration, s.network.delayBoth)
	},
	func(s *changeSoak, member int, duration time.Duration) {
		s.delayPaths(member, duration, s.network.delay)
	},
	func(s *changeSoak, member int, duration time.Duration) {
		s.delayPaths(member, duration, func(from, to string, delayed bool) { s.network.delay(to, from, delayed) })
	},
	func(s *changeSoak, member int, duration time.Duration) { s.restart(member, duration, false) },
	func(s *changeSoak, member int, duration time.Duration) { s.restart(member, duration, true) },
}

// delayPaths delays the paths between a member and the others for a duration.
func (s *changeSoak) delayPaths(member int, duration time.Duration, set func(from, to string, delayed bool)) {
	for _, delayed := range []bool{true, false} {
		for other := 1; other <= 5; other++ {
			if other != member {
				set(coreHost(member), coreHost(other), delayed)
			}
		}
		if delayed {
			time.Sleep(duration)
		}
	}
}

// restart kills a member, with or without a power loss, and starts it again after a duration.
func (s *changeSoak) restart(member int, duration time.Duration, losesPower bool) {
	s.kill(coreHost(member))
	if losesPower {
		s.losePower(coreHost(member))
	}
	time.Sleep(duration)
	s.startCore(coreHost(member), false, 1, 2, 3)
}

// injectFaults injects one to three random faults, one after the other, and returns once they are over.
func (s *changeSoak) injectFaults(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		fault := memberFaults[random.IntN(len(memberFaults))]
		fault(s, 1+random.IntN(5), time.Duration(50+random.IntN(2500))*time.Millisecond)
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}

// sendRace sends concurrent changes of one version at random moments, and returns once all have been answered.
func (s *changeSoak) sendRace(label string, amount int) {
	var sending sync.WaitGroup
	for number := range amount {
		pause := time.Duration(s.random.IntN(300)) * time.Millisecond
		sending.Go(func() {
			time.Sleep(pause)
			s.operators.send(addRoute(s.version, s.version+1, fmt.Sprint(label, "-", number)), time.Minute)
		})
	}
	sending.Wait()
	s.version = max(s.version, s.operators.newestAcknowledged())
}

func TestOperators_RandomFaultsLeaveNoChangeUndecided(t *testing.T) {
	seeds := changeSoakSeeds
	if configured, err := strconv.Atoi(os.Getenv("FERRYSPAR_SOAK_SEEDS")); err == nil {
		seeds = configured
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChangeSoak(t, seed) })
		})
	}
}

func runChangeSoak(t *testing.T, seed uint64) {
	f := startFleetOf(t, 5, 2, 2)
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.putConfiguration(1, 0, document(1, "")).status, http.StatusOK)
	s := &changeSoak{fleet: f, operators: newOperators(f, seed, 1, 2, 3, 4, 5), random: rand.New(rand.NewPCG(seed, 3)), version: 1}
	s.operators.answerLossRate = 0.4
	for round := range changeSoakRounds {
		faults, source := make(chan struct{}), rand.New(rand.NewPCG(seed, uint64(100+round)))
		go func() {
			s.injectFaults(source)
			close(faults)
		}()
		for number := 0; number < 4; number++ {
			s.sendRace(fmt.Sprintf("faults-%d-%d", round, number), 2)
		}
		<-faults
		time.Sleep(calmAfter)
		s.sendRace(fmt.Sprintf("calm-%d", round), 3)
	}
	for name, duration := range s.operators.decisionTimes() {
		if name[:len("add calm")] == "add calm" {
			assert.Check(t, duration <= decidedInCalm, "%s was decided after %s:%s", name, duration, s.operators.callsOf(name))
		}
	}
	s.operators.checkViolations(t)
}

func TestOperators_UnreachableOwnerIsBypassed(t *testing.T) {
	blockPaths := map[string]func(f *fleet, other string){
		"calls do not reach it":        func(f *fleet, other string) { f.network.delay(other, coreHost(1), true) },
		"its answers do not come back": func(f *fleet, other string) { f.network.delay(coreHost(1), other, true) },
	}
	for name, blockPath := range blockPaths {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUnreachableOwner(t, blockPath) })
		})
	}
}

// runUnreachableOwner makes the first member the owner of the configuration, blocks paths between it and the others, and
// expects changes at the others to be decided in time.
func runUnreachableOwner(t *testing.T, blockPath func(f *fleet, other string)) {
	f := startFleetOf(t, 5, 2, 1)
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.putConfiguration(1, 0, document(1, "")).status, http.StatusOK)
	for other := 2; other <= 5; other++ {
		blockPath(f, coreHost(other))
	}
	o := newOperators(f, 1, 2, 3, 4, 5)
	for number := range 3 {
		assert.Equal(t, o.send(addRoute(number+1, number+2, fmt.Sprint("passed-", number)), 20*time.Second), acknowledged)
	}
	for change, duration := range o.decisionTimes() {
		assert.Check(t, duration <= 4*time.Second, "%s was decided after %s:%s", change, duration, o.callsOf(change))
	}
	o.checkViolations(t)
}
