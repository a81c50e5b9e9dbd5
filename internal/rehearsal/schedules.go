package rehearsal

import (
	"os"
	"runtime"
	"strconv"
	"testing"
)

const SeedVariable = "FERRYSPAR_SEED"

func Schedules(amount int) (int, int) {
	if one, err := strconv.Atoi(os.Getenv(SeedVariable)); err == nil {
		return one, one + 1
	}
	if testing.Short() {
		return 1, 1 + amount/10
	}
	return 1, 1 + amount
}

func Main(run func() int) {
	runtime.GOMAXPROCS(1)
	os.Exit(run())
}
