package experiment

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/sim/emulator"
)

// shortestWaitMs is the wait in an edge beyond which a request counts as waiting.
const shortestWaitMs = 50

// windowCounts counts a class's requests of some time.
type windowCounts struct {
	asked, notLoaded, waited, missed, unserved int
	firsts                                     *hdrhistogram.Histogram
}

// countWindow counts the requests that arrived between two moments, in seconds.
func countWindow(result emulator.Result, class emulator.Class, number int, from, to float64) windowCounts {
	found := windowCounts{firsts: newHistogram()}
	for _, one := range result.Requests {
		if one.Class != number || one.AtS < from || one.AtS >= to {
			continue
		}
		found.asked++
		switch {
		case one.NotLoaded:
			found.notLoaded++
		case one.WaitMs > shortestWaitMs:
			found.waited++
		}
		switch {
		case one.FirstMs == 0:
			found.unserved++
			found.missed++
		case one.FirstMs > class.AimMs:
			found.missed++
		}
		if one.FirstMs > 0 {
			fill(found.firsts, []float64{one.FirstMs})
		}
	}
	return found
}
