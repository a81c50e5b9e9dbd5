package apportion

import (
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

func TestHashFraction_IsStableAndSpreadsEvenly(t *testing.T) {
	const nodes = 10000
	below := 0
	for node := range nodes {
		name := "node-" + strconv.Itoa(node)
		fraction := HashFraction(name, "subject")
		assert.Assert(t, fraction >= 0 && fraction < 1, "%s: %v", name, fraction)
		assert.Equal(t, fraction, HashFraction(name, "subject"))
		if fraction < 0.25 {
			below++
		}
	}
	assert.Assert(t, below > nodes/4-300 && below < nodes/4+300, "%d of %d below a quarter", below, nodes)
}

func TestRoundByFraction(t *testing.T) {
	for _, test := range []struct {
		amount, fraction float64
		want             int
	}{
		{amount: 2, fraction: 0, want: 2},
		{amount: 2.25, fraction: 0.2, want: 3},
		{amount: 2.25, fraction: 0.25, want: 2},
		{amount: 0.5, fraction: 0.9, want: 0},
		{amount: -1.5, fraction: 0, want: 0},
	} {
		t.Run(fmt.Sprintf("%v at %v", test.amount, test.fraction), func(t *testing.T) {
			assert.Equal(t, RoundByFraction(test.amount, test.fraction), test.want)
		})
	}
}

func TestMaxMeanWithin_RisesWithLimitAndStaysBelowIt(t *testing.T) {
	before := 0.0
	for limit := 1.0; limit < 100; limit++ {
		mean := MaxMeanWithin(limit)
		assert.Assert(t, mean > before && mean < limit, "mean %v within %v", mean, limit)
		before = mean
	}
}
