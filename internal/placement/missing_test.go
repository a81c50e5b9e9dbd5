package placement

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Of two models that requests wait for, the one is loaded first whose load must begin first; neither the age of its requests nor
// their number changes that, unless both loads must begin at the same time.
func TestCompareUrgency_OrdersBySlackThenWaiting(t *testing.T) {
	base := candidateModel{model: 1, slackMs: 1000, waiting: 1}
	for name, test := range map[string]struct {
		other candidateModel
		first bool
	}{
		"more slack":               {candidateModel{slackMs: 1001, waiting: 1}, true},
		"more slack, more waiting": {candidateModel{slackMs: 1001, waiting: 50}, true},
		"less slack":               {candidateModel{slackMs: 999, waiting: 1}, false},
		"equal slack, more wait":   {candidateModel{slackMs: 1000, waiting: 2}, false},
		"none in time":             {candidateModel{slackMs: math.Inf(1), waiting: 50}, true},
	} {
		assert.Equal(t, compareUrgency(base, test.other) < 0, test.first, name)
	}
}
