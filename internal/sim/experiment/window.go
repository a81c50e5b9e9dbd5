package experiment

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/sim/emulator"
)

// minWaitMs is the wait at a data plane above which a request counts as having waited.
const minWaitMs = 50

// windowCounts counts the requests of a class in a time window.
type windowCounts struct {
	sent, notLoaded, waited, missed, unserved int
	firsts                                    *hdrhistogram.Histogram
}

// countWindow counts the requests of a class that arrived between two times in seconds. number is the index of the class.
func countWindow(result emulator.Result, class emulator.Class, number int, from, to float64) windowCounts {
	found := windowCounts{firsts: newHistogram()}
	for _, request := range result.Requests {
		if request.Class != number || request.AtS < from || request.AtS >= to {
			continue
		}
		found.sent++
		switch {
		case request.NotLoaded:
			found.notLoaded++
		case request.WaitMs > minWaitMs:
			found.waited++
		}
		switch {
		case request.FirstTokenMs == 0:
			found.unserved++
			found.missed++
		case request.FirstTokenMs > class.LatencyTargetMs:
			found.missed++
		}
		if request.FirstTokenMs > 0 {
			recordMs(found.firsts, []float64{request.FirstTokenMs})
		}
	}
	return found
}
