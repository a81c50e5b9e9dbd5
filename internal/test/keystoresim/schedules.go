package keystoresim

import (
	"os"
	"runtime"
	"strconv"
	"testing"
)

// SeedVariable names the environment variable that replays one schedule.
const SeedVariable = "FERRYSPAR_SEED"

// SeedRange gives the range of seeds to play: one, a tenth under -short, or all.
func SeedRange(amount int) (int, int) {
	if seed, err := strconv.Atoi(os.Getenv(SeedVariable)); err == nil {
		return seed, seed + 1
	}
	if testing.Short() {
		return 1, 1 + amount/10
	}
	return 1, 1 + amount
}

// Main runs a package's tests on one processor, on which schedules replay exactly.
func Main(run func() int) {
	runtime.GOMAXPROCS(1)
	os.Exit(run())
}
