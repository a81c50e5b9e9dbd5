package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestListInterval_StaysWithinRateShare(t *testing.T) {
	assert.Equal(t, listInterval(44, 1), minListInterval)
	assert.Equal(t, listInterval(44, 3), minListInterval)
	for _, pages := range []int{1, 3, 15, 60} {
		for _, rate := range []float64{0.5, 4, 44} {
			pause := listInterval(rate, pages)
			taken := float64(pages) / pause.Seconds()
			assert.Assert(t, taken <= rate*holderRateShare+1e-6, "%d pages at %f", pages, rate)
			isEconomical := taken <= rate/listRateDivisor+1e-6
			assert.Assert(t, isEconomical || pause >= maxListInterval, "%d pages at %f", pages, rate)
		}
	}
	assert.Assert(t, listInterval(44, 15) > time.Second)
}

func TestSharedListInterval_StaysWithinRate(t *testing.T) {
	for _, readers := range []int{1, 3, 5, 9} {
		for _, pages := range []int{1, 15, 60} {
			for _, rate := range []float64{4, 44, 1500} {
				holder, other := listInterval(rate, pages), sharedListInterval(rate, pages, readers-1)
				calls := float64(pages)/holder.Seconds() + float64((readers-1)*pages)/other.Seconds()
				assert.Assert(t, calls <= rate+1e-6, "%d readers, %d pages, %f a second: %f", readers, pages, rate, calls)
			}
		}
	}
}

func TestStaleAge_ExceedsListInterval(t *testing.T) {
	assert.Equal(t, staleAge(44, 1), staleListAge)
	assert.Assert(t, unchangedListInterval < staleListAge)
	assert.Equal(t, stretchedInterval(minListInterval, unchangedAfter-1), minListInterval)
	assert.Equal(t, stretchedInterval(minListInterval, unchangedAfter), unchangedListInterval)
	assert.Equal(t, stretchedInterval(2*time.Second, time.Hour), 2*time.Second, "no shorter than the rate allows")
	assert.Assert(t, staleAge(44, 60) > listInterval(44, 60)+minListInterval)
}
