package linearizability_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"ferryspar/internal/test/keystoresim"
)

func TestMain(m *testing.M) {
	logrus.SetLevel(logrus.ErrorLevel)
	keystoresim.Main(m.Run)
}

const (
	schedulesInCI = 150
	progressEvery = 5 * time.Second
)

// runAndCheck runs a schedule in fake time and checks its history.
func runAndCheck(t *testing.T, planned schedule, broken variant) (simulationResult, error) {
	var done simulationResult
	var err error
	synctest.Test(t, func(*testing.T) { done, err = runSimulation(planned, broken) })
	if err != nil {
		return done, err
	}
	if err := checkLeaseActs(done.acts); err != nil {
		return done, err
	}
	return done, checkHistory(done.history)
}

// runTotals counts the events of all schedules, to show that the schedules exercise the system.
type runTotals struct {
	results           map[string]int
	membershipChanges uint64
	polls             int
	faults            int
	acts              int
	holderChanges     int
}

func (t runTotals) String() string {
	const format = "%d faults, %d changes of the membership, %d confirmed polls, %d acts under a lease, %d changes of its holder, calls %v"
	return fmt.Sprintf(format, t.faults, t.membershipChanges, t.polls, t.acts, t.holderChanges, t.results)
}

func (t *runTotals) add(done simulationResult) {
	for _, record := range done.history {
		t.results[callNames[record.call.kind]+" "+resultNames[record.result]]++
	}
	t.membershipChanges += done.membershipChanges
	t.acts += len(done.acts)
	for index := 1; index < len(done.acts); index++ {
		if done.acts[index].holder != done.acts[index-1].holder {
			t.holderChanges++
		}
	}
	t.polls += done.polls
	t.faults += done.faults
}

func TestSimulation_HistoriesAreLinearizable(t *testing.T) {
	from, to := keystoresim.SeedRange(schedulesInCI)
	started := time.Now()
	lastProgress := started
	sum := runTotals{results: map[string]int{}}
	for seed := from; seed < to; seed++ {
		planned := drawSchedule(uint64(seed))
		done, err := runAndCheck(t, planned, variant{})
		if err != nil {
			smallest, why := shrink(t, planned, variant{}, err)
			t.Fatalf("%s=%d replays this schedule; smaller:\n%s%s", keystoresim.SeedVariable, seed, smallest, why)
		}
		sum.add(done)
		if time.Since(lastProgress) > progressEvery {
			lastProgress = time.Now()
			t.Logf("%d schedules in %s", seed-from+1, time.Since(started).Round(time.Second))
		}
	}
	t.Logf("%d schedules in %s: %s", to-from, time.Since(started).Round(time.Second), sum)
}

func TestSimulation_SameSeedReplaysExactly(t *testing.T) {
	from, to := keystoresim.SeedRange(6)
	for seed := from; seed < to; seed++ {
		var histories [2]string
		for turn := range histories {
			synctest.Test(t, func(*testing.T) {
				done, err := runSimulation(drawSchedule(uint64(seed)), variant{})
				assert.NilError(t, err)
				histories[turn] = formatHistory(done.history)
			})
		}
		assert.Equal(t, histories[0], histories[1], "%s=%d gives two different histories", keystoresim.SeedVariable, seed)
	}
}
