package keystoresim

import (
	"os"
	"runtime"
	"strconv"
	"testing"
)

// SeedVariable names the environment variable that replays one schedule.
const SeedVariable = "FERRYSPAR_SEED"

// shortShare is which part of the schedules is played under -short.
const shortShare = 10

// SeedRange gives the first seed to play and the one after the last: the one of SeedVariable, a tenth under -short, or all.
func SeedRange(amount int) (from, to int) {
	if seed, err := strconv.Atoi(os.Getenv(SeedVariable)); err == nil {
		return seed, seed + 1
	}
	if testing.Short() {
		return 1, 1 + amount/shortShare
	}
	return 1, 1 + amount
}

// Main runs a package's tests on one processor, on which schedules replay exactly.
func Main(run func() int) {
	runtime.GOMAXPROCS(1)
	os.Exit(run())
}
