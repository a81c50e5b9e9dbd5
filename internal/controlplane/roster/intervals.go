package roster

import (
	"time"

	"ferryspar/internal/discovery"
)

const (
	// minListInterval is the shortest interval between two reads of the platform's list.
	minListInterval = 450 * time.Millisecond
	// unchangedListInterval is the shortest interval once the list has not changed for unchangedAfter, as the platform charges for
	// each page. It is below staleListAge, so that updates reach the other nodes before they consider their lists stale.
	unchangedListInterval = 850 * time.Millisecond
	unchangedAfter        = 3 * time.Second
	// minReadPause is the shortest pause between the end of a slow read and the next one.
	minReadPause = minListInterval / 4
	// staleListAge is the age from which a node without the lease refreshes a short list itself; see staleAge.
	staleListAge = 1300 * time.Millisecond
	// listRateDivisor limits one reader to the platform's rate divided by this, unless the list would then be read less often than
	// every maxListInterval.
	listRateDivisor = 3
	// maxListInterval is the longest interval between two reads of a list, as far as the rate allowed to a single reader permits. A
	// replica must get no more requests a few seconds after it is listed as draining.
	maxListInterval = 1200 * time.Millisecond
	// holderRateShare is the largest share of the platform's rate that the lease holder uses: together with the nodes that read the
	// list without the lease it stays below the platform's rate.
	holderRateShare = 0.65
	// singleReaderRateShare is the share used by a node that reads in its turn while no node has a list: no other node reads then.
	singleReaderRateShare = 0.9
	// minCallsPerSecond is the lowest rate for which intervals are computed.
	minCallsPerSecond = 0.1
)

// listInterval returns the interval between the lease holder's reads of a list of that many pages.
func listInterval(callsPerSecond float64, pages int) time.Duration {
	rate := max(callsPerSecond, minCallsPerSecond)
	economical := readInterval(rate/listRateDivisor, pages)
	fastest := readInterval(rate*holderRateShare, pages)
	return max(minListInterval, min(economical, max(maxListInterval, fastest)))
}

// stretchedInterval returns the interval between two reads of a list that has not changed for a time.
func stretchedInterval(interval, unchangedFor time.Duration) time.Duration {
	if unchangedFor < unchangedAfter {
		return interval
	}
	return max(interval, unchangedListInterval)
}

// sharedListInterval returns the interval for each of the nodes that read the list without the lease: together
// they use no more than the platform's rate divided by listRateDivisor.
func sharedListInterval(callsPerSecond float64, pages, readers int) time.Duration {
	rate := max(callsPerSecond, minCallsPerSecond)
	return max(minListInterval, readInterval(rate/listRateDivisor, pages*max(readers, 1)))
}

// readInterval returns the time that reading so many pages takes at a rate.
func readInterval(pagesPerSecond float64, pages int) time.Duration {
	return time.Duration(float64(pages) / pagesPerSecond * float64(time.Second))
}

// readDuration returns the shortest time in which so many pages can be read.
func readDuration(callsPerSecond float64, pages int) time.Duration {
	return discovery.MinListDuration(max(callsPerSecond, minCallsPerSecond)*holderRateShare, pages)
}

// recentAge returns the age up to which a list of that many pages may be passed on to other nodes. It includes the duration of a
// read, since the age of a list counts from the start of its read.
func recentAge(callsPerSecond float64, pages int) time.Duration {
	return staleListAge + readDuration(callsPerSecond, pages)
}

// staleAge returns the age from which a node without the lease refreshes a list of that many pages: recentAge, plus the time by
// which the lease holder's interval exceeds minListInterval.
func staleAge(callsPerSecond float64, pages int) time.Duration {
	return recentAge(callsPerSecond, pages) + listInterval(callsPerSecond, pages) - minListInterval
}
