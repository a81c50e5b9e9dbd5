package keystoresim

import (
	"os"
	"runtime"
	"strconv"
	"testing"
)

// The environment variables that choose schedules: SeedVariable the first one, which is then played alone, and SchedulesVariable how
// many are played instead.
const (
	SeedVariable      = "FERRYSPAR_SEED"
	SchedulesVariable = "FERRYSPAR_SCHEDULES"
)

// shortShare is which part of the schedules is played under -short.
const shortShare = 10

// SeedRange gives the first seed to play and the one after the last: those that the environment chooses, a tenth under -short, or
// all.
func SeedRange(amount int) (from, to int) {
	from = 1
	if testing.Short() {
		amount /= shortShare
	}
	if seed, err := strconv.Atoi(os.Getenv(SeedVariable)); err == nil {
		from, amount = seed, 1
	}
	if schedules, err := strconv.Atoi(os.Getenv(SchedulesVariable)); err == nil {
		amount = schedules
	}
	return from, from + amount
}

// Main runs a package's tests on one processor, on which schedules replay exactly.
func Main(run func() int) {
	runtime.GOMAXPROCS(1)
	os.Exit(run())
}
