package integration

import (
	"os"
	"time"
)

// casesFor returns the number of cases to run: ordinary, or full if FERRYSPAR_SWEEP is set.
func casesFor(ordinary, full int) int {
	if os.Getenv("FERRYSPAR_SWEEP") != "" {
		return full
	}
	return ordinary
}

// sweepMoments returns the moments of a sweep; ordinary runs use every sweepStride-th of them.
func sweepMoments(offset int) []time.Duration {
	stride := casesFor(sweepStride, 1)
	if stride == 1 {
		offset = 0
	}
	found := []time.Duration{}
	for moment := time.Duration(offset) * sweepStep; moment <= sweepEnd; moment += time.Duration(stride) * sweepStep {
		found = append(found, moment)
	}
	return found
}
