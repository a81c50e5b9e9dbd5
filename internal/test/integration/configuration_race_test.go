package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const defaultAnswerLossRate = 0.3

func (o *operators) checkViolations(t *testing.T) {
	t.Helper()
	problems := o.violations()
	assert.Equal(t, len(problems), 0, summarizeProblems(problems))
	problems = o.readViolations(o.waitConfiguration(5 * time.Second))
	assert.Equal(t, len(problems), 0, summarizeProblems(problems))
}

func TestConfigurationRace_OneWinnerAndResendsAgree(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startSettledFleet(t, 2, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
				o := newOperators(f, seed, 1, 2, 3)
				o.answerLossRate = defaultAnswerLossRate
				version := 1
				for first := 1; first <= 3; first++ {
					for second := 1; second <= 3; second++ {
						changes := o.raceChanges(version, first, second)
						o.resendEverywhere(changes)
						assert.Assert(t, o.newestAcknowledged() > version, "no change is acknowledged at version %d", version)
						version = o.newestAcknowledged()
					}
				}
				o.checkViolations(t)
			})
		})
	}
}

// raceChanges sends two changes of one version to two members at random moments and returns both once each has
// a definite outcome.
func (o *operators) raceChanges(version, first, second int) []operatorChange {
	changes := []operatorChange{
		addRoute(version, version+3, fmt.Sprintf("left-%d", version)),
		addRoute(version, version+3+int(2*o.randomFloat()), fmt.Sprintf("right-%d", version)),
	}
	var group sync.WaitGroup
	for index, host := range []string{coreHost(first), coreHost(second)} {
		delay := time.Duration(o.randomFloat() * float64(30*time.Millisecond))
		group.Go(func() {
			time.Sleep(delay)
			if o.attempt(changes[index], host).outcome == unknown {
				o.send(changes[index], 6*time.Second)
			}
		})
	}
	group.Wait()
	return changes
}

func (o *operators) resendEverywhere(changes []operatorChange) {
	for _, host := range o.hosts {
		for _, change := range changes {
			o.attempt(change, host)
		}
	}
}

func TestConfigurationRace_ResendsAgreeDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		o := newOperators(f, 5, 1, 2, 3)
		o.answerLossRate = defaultAnswerLossRate
		version := 1
		for round := range 9 {
			isolatedHost := coreHost(1 + round%3)
			isolate := func(isolated bool) {
				for _, host := range o.hosts {
					if host != isolatedHost {
						f.network.delayBoth(isolatedHost, host, isolated)
					}
				}
			}
			go func() {
				time.Sleep(time.Duration(round) * 2 * time.Millisecond)
				isolate(true)
				time.Sleep(1200 * time.Millisecond)
				isolate(false)
			}()
			changes := o.raceChanges(version, 1+round%3, 1+(round+1)%3)
			o.resendEverywhere(changes)
			time.Sleep(1500 * time.Millisecond)
			o.resendEverywhere(changes)
			assert.Assert(t, o.newestAcknowledged() > version, "no change is acknowledged at version %d", version)
			version = o.newestAcknowledged()
		}
		o.checkViolations(t)
	})
}

func TestConfigurationRace_ResendRecognisedAfterThousandChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetOf(t, 3, 0, 0)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.putConfiguration(1, 0, document(1, "")).status, http.StatusOK)
		o := newOperators(f, 6, 1, 2, 3)
		first := addRoute(1, 2, "kept")
		assert.Equal(t, o.send(first, 4*time.Second), acknowledged)
		version := 2
		for number := range 1000 {
			change := addRoute(version, version+1, fmt.Sprintf("other-%d", number%2))
			change.name = fmt.Sprint("change ", number)
			assert.Equal(t, o.attempt(change, coreHost(1+number/100%3)).outcome, acknowledged, "change %d", number)
			version++
		}
		for _, host := range o.hosts {
			again := o.attempt(first, host)
			assert.Assert(t, again.outcome != rejected, "a resend after 1,000 changes: %s", again)
		}
	})
}

func TestConfigurationRace_ConcurrentCallsTakeEachVersionOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 2, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		o := newOperators(f, 7, 1, 2, 3)
		o.answerLossRate = defaultAnswerLossRate
		var group sync.WaitGroup
		for caller := range maxConcurrentCalls {
			group.Go(func() {
				for round := range 8 {
					status, content := o.read(o.pickMember())
					if status != http.StatusOK {
						continue
					}
					version := revisionIn(content)
					route := fmt.Sprintf("caller-%d-%d", caller, round)
					o.send(addRoute(version, version+1+caller%3, route), 6*time.Second)
				}
			})
		}
		group.Wait()
		assert.Assert(t, o.newestAcknowledged() > 8, "too few changes: %d", o.newestAcknowledged())
		o.checkViolations(t)
	})
}

func revisionIn(content string) int {
	_, after, _ := strings.Cut(content, `"revision":`)
	revision := 0
	_, _ = fmt.Sscanf(after, "%d", &revision)
	return revision
}
