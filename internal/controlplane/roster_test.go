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

func TestGivenSeveralReadersThenTogetherTheyStayWithinTheAllowedRate(t *testing.T) {
	for _, readers := range []int{1, 3, 5, 9} {
		for _, pages := range []int{1, 15, 60} {
			for _, rate := range []float64{4, 44, 1500} {
				holder, other := listPause(rate, pages), sharedListPause(rate, pages, readers-1)
				calls := float64(pages)/holder.Seconds() + float64((readers-1)*pages)/other.Seconds()
				assert.Assert(t, calls <= rate*2/listShare+1e-6, "%d readers, %d pages, %f a second: %f", readers, pages, rate, calls)
			}
		}
	}
}

func TestGivenAListThatIsReadSeldomThenItIsNotStaleBetweenTwoReadings(t *testing.T) {
	assert.Equal(t, staleAfter(44, 1), staleList)
	assert.Assert(t, staleAfter(44, 60) > listPause(44, 60)+listEvery)
}
