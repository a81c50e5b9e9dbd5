package drill

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheckGuard_EndsOnlyBeyondMargin(t *testing.T) {
	cases := map[string]struct {
		drilled, rest OutcomeCounts
		wanted        string
	}{
		"too few samples":         {OutcomeCounts{Late: minGuardSamples - 1}, OutcomeCounts{WithinTarget: 100}, ""},
		"as good as the rest":     {OutcomeCounts{WithinTarget: 90, Late: 10}, OutcomeCounts{WithinTarget: 95, Late: 5}, ""},
		"late":                    {OutcomeCounts{WithinTarget: 80, Late: 20}, OutcomeCounts{WithinTarget: 95, Late: 5}, "in time"},
		"all equally late":        {OutcomeCounts{WithinTarget: 50, Late: 50}, OutcomeCounts{WithinTarget: 55, Late: 45}, ""},
		"rejected":                {OutcomeCounts{WithinTarget: 92, Rejected: 8}, OutcomeCounts{WithinTarget: 95, Late: 5}, "refused"},
		"exempted counts as well": {OutcomeCounts{WithinTarget: 92, Exempted: 8}, OutcomeCounts{WithinTarget: 95, Late: 5}, "spared"},
		"no rest, near perfect":   {OutcomeCounts{WithinTarget: 95, Late: 5}, OutcomeCounts{}, ""},
		"no rest, too many late":  {OutcomeCounts{WithinTarget: 85, Late: 15}, OutcomeCounts{}, "in time"},
	}
	for name, testCase := range cases {
		reason := CheckGuard(Record{Margin: 0.1}, []RouteOutcomes{{Name: "quick", Drilled: testCase.drilled, Rest: testCase.rest}})
		assert.Equal(t, reason != "", testCase.wanted != "", "%s: %s", name, reason)
		assert.Assert(t, strings.Contains(reason, testCase.wanted), "%s: %s", name, reason)
	}
}
