package experiment

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/sim/emulator"
)

// shortestWaitMs is the wait in an edge beyond which a request counts as waiting.
const shortestWaitMs = 50

// windowCounts counts a class's requests of some time.
type windowCounts struct {
	sent, notLoaded, waited, missed, unserved int
	firsts                                    *hdrhistogram.Histogram
}

// countWindow counts the requests that arrived between two moments, in seconds.
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
		case request.WaitMs > shortestWaitMs:
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
			fill(found.firsts, []float64{request.FirstTokenMs})
		}
	}
	return found
}
