package integration

import (
	"os"
	"time"
)

// casesFor returns ordinary, or full if FERRYSPAR_SWEEP asks for full sweeps.
func casesFor(ordinary, full int) int {
	if os.Getenv("FERRYSPAR_SWEEP") != "" {
		return full
	}
	return ordinary
}

// sweepMoments are the moments of a sweep, every sweepStride-th of them in ordinary runs.
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
