package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestGivenManyPagesThenTheListIsReadAtAThirdOfTheAllowedRate(t *testing.T) {
	assert.Equal(t, listPause(44, 1), listEvery)
	assert.Equal(t, listPause(44, 3), listEvery)
	for _, pages := range []int{1, 3, 15, 60} {
		for _, rate := range []float64{0.5, 4, 44} {
			pause := listPause(rate, pages)
			assert.Assert(t, float64(pages)/pause.Seconds() <= rate/listShare+1e-6, "%d pages at %f", pages, rate)
		}
	}
	assert.Assert(t, listPause(44, 15) > time.Second)
}
