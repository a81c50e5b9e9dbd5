package keystoresim

import (
	"os"
	"runtime"
	"strconv"
	"testing"
)

// The environment variables that select schedules. SeedVariable is the seed of the first one, which is then the only one
// unless SchedulesVariable sets the number of schedules.
const (
	SeedVariable      = "FERRYSPAR_SEED"
	SchedulesVariable = "FERRYSPAR_SCHEDULES"
)

// shortDivisor divides the number of schedules under -short.
const shortDivisor = 10

// SeedRange returns the first seed to run and the one after the last: the seeds selected by the environment, or the first
// count seeds, a tenth of them under -short.
func SeedRange(count int) (from, to int) {
	from = 1
	if testing.Short() {
		count /= shortDivisor
	}
	if seed, err := strconv.Atoi(os.Getenv(SeedVariable)); err == nil {
		from, count = seed, 1
	}
	if schedules, err := strconv.Atoi(os.Getenv(SchedulesVariable)); err == nil {
		count = schedules
	}
	return from, from + count
}

// Main runs a package's tests with GOMAXPROCS=1, which makes the replay of schedules deterministic.
func Main(run func() int) {
	runtime.GOMAXPROCS(1)
	os.Exit(run())
}
